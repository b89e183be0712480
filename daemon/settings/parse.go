package settings

import (
	"encoding/json"
	"os"
	"reflect"

	"github.com/samphirequay/samphirequay/core/live"
)

// Load reads and checks the start-up settings in a file.
func Load(path string) (*Settings, Faults) {
	data, faults := readFile(path)
	if faults != nil {
		return nil, faults
	}
	return Parse(path, data)
}

// Parse reads and checks start-up settings. Faults report name as the file. The
// settings are nil if there is a fault.
func Parse(name string, data []byte) (*Settings, Faults) {
	src := openSource(name, data)
	s := Defaults()
	src.decode(s)
	if len(src.faults) > 0 {
		return nil, src.sorted()
	}
	s.derive()
	for _, f := range s.check() {
		src.addFault(f.field, f.message)
	}
	if len(src.faults) > 0 {
		return nil, src.sorted()
	}
	return s, nil
}

// LoadDocument reads and checks the live configuration in a file.
func LoadDocument(path string) (*live.Document, Faults) {
	data, faults := readFile(path)
	if faults != nil {
		return nil, faults
	}
	return ParseDocument(path, data)
}

// ParseDocument reads and checks a live configuration. Faults report name as
// the file. The document has its defaults filled in; it is nil if there is a
// fault.
func ParseDocument(name string, data []byte) (*live.Document, Faults) {
	src := openSource(name, data)
	raw := &live.Document{}
	src.decode(raw)
	if len(src.faults) > 0 {
		return nil, src.sorted()
	}
	doc := live.Normalize(raw)
	for _, f := range live.Check(doc) {
		src.addFault(f.Path, f.Message)
	}
	if len(src.faults) > 0 {
		return nil, src.sorted()
	}
	return doc, nil
}

// Decode reads JSON with comments strictly into the struct that to points to,
// and applies its validate tags. Faults report name as the file. It serves
// settings other than the type Settings.
func Decode(name string, data []byte, to any) Faults {
	src := openSource(name, data)
	src.decode(to)
	if len(src.faults) > 0 {
		return src.sorted()
	}
	c := &checker{}
	c.validateTags(to)
	for _, f := range c.faults {
		src.addFault(f.field, f.message)
	}
	return src.sorted()
}

// DecodeFile applies Decode to the content of a file.
func DecodeFile(path string, to any) Faults {
	data, faults := readFile(path)
	if faults != nil {
		return faults
	}
	return Decode(path, data, to)
}

// decode reads the content strictly into the struct that to points to. It does
// nothing if faults are already recorded.
func (s *source) decode(to any) {
	if len(s.faults) > 0 {
		return
	}
	s.walk(s.root, reflect.TypeOf(to), "")
	if len(s.faults) > 0 {
		return
	}
	if err := json.Unmarshal(s.standardJSON(), to); err != nil {
		s.addFault("", err.Error())
	}
}

func readFile(path string) ([]byte, Faults) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{File: path, Message: err.Error()}}
	}
	return data, nil
}
