package settings

import (
	"reflect"

	"github.com/tailscale/hujson"

	"github.com/samphirequay/samphirequay/core/live"
)

// FileKind tells the kinds of files apart.
type FileKind string

// The kinds of files.
const (
	KindSettings FileKind = "start-up settings"
	KindDocument FileKind = "live configuration"
	KindUnknown  FileKind = "unknown"
)

// CheckFile tells what kind of file it is by its content, and checks it.
func CheckFile(path string) (FileKind, Faults) {
	data, faults := readFile(path)
	if faults != nil {
		return KindUnknown, faults
	}
	return Check(path, data)
}

// Check tells the kind of the content, and checks it; name stands in the faults.
func Check(name string, data []byte) (FileKind, Faults) {
	src := openSource(name, data)
	if len(src.faults) > 0 {
		return KindUnknown, src.faults
	}
	kind := src.kind()
	switch kind {
	case KindSettings:
		_, faults := Parse(name, data)
		return kind, faults
	case KindDocument:
		_, faults := ParseDocument(name, data)
		return kind, faults
	default:
		src.at("", "is neither start-up settings nor a live configuration: most of its fields are known to neither")
		return kind, src.faults
	}
}

// kind goes by which of the two knows more of the outermost fields.
func (s *source) kind() FileKind {
	object, ok := s.root.Value.(*hujson.Object)
	if !ok {
		return KindUnknown
	}
	inSettings := countKnown(object, reflect.TypeFor[Settings]())
	inDocument := countKnown(object, reflect.TypeFor[live.Document]())
	switch {
	case inSettings > inDocument:
		return KindSettings
	case inDocument > inSettings:
		return KindDocument
	default:
		return KindUnknown
	}
}

func countKnown(object *hujson.Object, t reflect.Type) int {
	known, count := fieldTypes(t), 0
	for _, member := range object.Members {
		if _, ok := known[memberName(member)]; ok {
			count++
		}
	}
	return count
}
