package settings

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// source is a file that is being read: its content, the byte offsets of its
// fields, and the faults found so far.
type source struct {
	name    string
	data    []byte
	root    hujson.Value
	offsets map[string]int
	faults  Faults
}

// openSource parses the content. On a syntax error it records that fault only.
func openSource(name string, data []byte) *source {
	s := &source{name: name, data: data, offsets: make(map[string]int)}
	root, err := hujson.Parse(data)
	if err != nil {
		s.addSyntaxFault(err)
		return s
	}
	s.root = root
	s.offsets[""] = root.StartOffset
	return s
}

// addSyntaxFault records a syntax error. The parser reports the position only in
// the text of its error; if the text holds none, the fault is reported at the
// start of the file.
func (s *source) addSyntaxFault(err error) {
	text := err.Error()
	line, column, message := 1, 1, text
	if parsed, ok := parseSyntaxError(text); ok {
		line, column, message = parsed.line, parsed.column, parsed.message
	}
	s.faults = append(s.faults, Fault{File: s.name, Line: line, Column: column, Message: message})
}

// addFault records a fault at the position of a field, or of its closest
// enclosing field if the file does not contain the field.
func (s *source) addFault(field, message string) {
	s.addFaultAt(s.offset(field), field, message)
}

// addFaultAt records a fault at a byte offset.
func (s *source) addFaultAt(offset int, field, message string) {
	line, column := position(s.data, offset)
	s.faults = append(s.faults, Fault{File: s.name, Line: line, Column: column, Field: field, Message: message})
}

// offset returns the byte offset of a field, or of its closest enclosing field
// in the file.
func (s *source) offset(field string) int {
	for {
		if offset, ok := s.offsets[field]; ok {
			return offset
		}
		field = parent(field)
	}
}

// parent removes the last element of a path; the parent of a top-level field is
// "".
func parent(field string) string {
	cut := strings.LastIndexAny(field, ".[")
	return field[:max(cut, 0)]
}

// sorted sorts the faults by their position in the file and returns them.
func (s *source) sorted() Faults {
	slices.SortStableFunc(s.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return s.faults
}

// position returns the line and column of a byte offset, both counted from 1.
func position(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

// standardJSON returns the content as standard JSON.
func (s *source) standardJSON() []byte {
	v := s.root.Clone()
	v.Standardize()
	return v.Pack()
}
