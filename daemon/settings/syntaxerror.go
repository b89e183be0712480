package settings

import (
	"regexp"
	"strconv"
)

// syntaxErrorPattern matches the text of hujson's syntax errors, the only place
// where hujson reports their line and column.
var syntaxErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// syntaxError is a syntax error reported by hujson.
type syntaxError struct {
	line, column int
	message      string
}

// parseSyntaxError parses the text of a syntax error of hujson. It returns false
// for any other text.
func parseSyntaxError(text string) (syntaxError, bool) {
	m := syntaxErrorPattern.FindStringSubmatch(text)
	if m == nil {
		return syntaxError{}, false
	}
	line, errLine := strconv.Atoi(m[1])
	column, errColumn := strconv.Atoi(m[2])
	if errLine != nil || errColumn != nil {
		return syntaxError{}, false
	}
	return syntaxError{line: line, column: column, message: m[3]}, true
}
