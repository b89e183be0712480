package settings

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// source is a file that is being read: its content, where each field stands,
// and the faults found so far.
type source struct {
	name    string
	data    []byte
	root    hujson.Value
	offsets map[string]int
	faults  Faults
}

// openSource parses the grammar; on a fault there the rest is not looked at.
func openSource(name string, data []byte) *source {
	s := &source{name: name, data: data, offsets: make(map[string]int)}
	root, err := hujson.Parse(data)
	if err != nil {
		s.grammarFault(err)
		return s
	}
	s.root = root
	s.offsets[""] = root.StartOffset
	return s
}

// grammarFault records a fault of the grammar. The parser gives the place only
// in its text, so it is found again as the end of the longest proper beginning.
func (s *source) grammarFault(err error) {
	text := err.Error()
	line, column, message := 1, 1, text
	if at, ok := placeIn(text); ok {
		line, column, message = at.line, at.column, at.message
	}
	s.faults = append(s.faults, Fault{File: s.name, Line: line, Column: column, Message: message})
}

// at records a fault at the place of a field, or of the closest one around it
// that stands in the file.
func (s *source) at(field, message string) {
	s.atOffset(s.offset(field), field, message)
}

func (s *source) atOffset(offset int, field, message string) {
	line, column := position(s.data, offset)
	s.faults = append(s.faults, Fault{File: s.name, Line: line, Column: column, Field: field, Message: message})
}

func (s *source) offset(field string) int {
	for {
		if offset, ok := s.offsets[field]; ok {
			return offset
		}
		field = parent(field)
	}
}

// parent cuts the last step off a path; the parent of the last is "".
func parent(field string) string {
	cut := strings.LastIndexAny(field, ".[")
	return field[:max(cut, 0)]
}

// sorted returns the faults in the order of the file.
func (s *source) sorted() Faults {
	slices.SortStableFunc(s.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return s.faults
}

// position gives the line and column, from 1, of an offset.
func position(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

// standard returns the content as standard JSON.
func (s *source) standard() []byte {
	v := s.root.Clone()
	v.Standardize()
	return v.Pack()
}
