package settings

import (
	"regexp"
	"strconv"
)

// placePattern is how hujson words the place of a fault of the grammar.
var placePattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

type place struct {
	line, column int
	message      string
}

// placeIn takes the line and column out of the text of hujson's error.
func placeIn(text string) (place, bool) {
	m := placePattern.FindStringSubmatch(text)
	if m == nil {
		return place{}, false
	}
	line, errLine := strconv.Atoi(m[1])
	column, errColumn := strconv.Atoi(m[2])
	if errLine != nil || errColumn != nil {
		return place{}, false
	}
	return place{line: line, column: column, message: m[3]}, true
}
