package origins

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// TestAnOddRowOfVersionsIsReplaced guards against a row of another writer that can't be decoded
// or says nothing: it was written again and again without effect, or taken for proof.
func TestAnOddRowOfVersionsIsReplaced(t *testing.T) {
	for name, value := range map[string]string{
		"bytes that are no text": "\xff\x00",
		"null":                   "null",
		"an empty object":        "{}",
		"no versions":            `{"gone_ms":{}}`,
		"a list":                 "[]",
		"half a row":             `{"gone_ms":{"v1":`,
		"another type":           `{"gone_ms":{"v1":"yesterday"}}`,
		"a number too large":     `{"gone_ms":{"v1":1e300}}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startUpToDate("d1", "d2")
			f.set(func() {
				f.version++
				f.rows[TableVersions+"/s"] = table.Row{Value: []byte(value), Version: f.version}
			})
			f.readRecorded("d1")
			f.readRecorded("d2")
			is.True(!f.daemons["d2"].knowledgeOf("s", f.now).proven)
			odd := f.version
			f.check("d1")
			is.Equal(f.version, odd+1)
			for range 10 {
				f.sleep(CheckInterval)
				f.check("d1")
			}
			is.Equal(f.version, odd+1) // it is not written again
			f.kill("d2")
			got, ok := f.find("d1")
			is.True(ok)
			is.Equal(got, id.Software("v1"))
		})
	}
}
