// Package logstory collects the log lines of several daemons about one request,
// oldest first, derives the request's outcome and reports gaps in the logs.
package logstory

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is one parsed log line of a daemon.
type Line struct {
	At     time.Time
	Daemon string
	Event  string
	// Fields holds all other pairs except the level, Order their keys in the
	// order of the line.
	Fields map[string]string
	Order  []string
}

// lineStart begins each line of a daemon's log. Log collectors may prepend text.
const lineStart = "ts="

// maxLineBytes bounds one line; reading a log with a longer line fails.
const maxLineBytes = 1 << 20

// Logs holds the lines that were read.
type Logs struct {
	Lines []Line
	// Unreadable counts truncated lines and lines that no daemon logged.
	Unreadable int
}

// Read adds the lines of a log; name identifies the log in errors.
func (l *Logs) Read(name string, from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		if !ok {
			l.Unreadable++
			continue
		}
		l.Lines = append(l.Lines, line)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// ReadPath adds the lines of a file, of all files under a folder, or of stdin if
// path is "-".
func (l *Logs) ReadPath(path string, stdin io.Reader) error {
	if path == "-" {
		return l.Read("standard input", stdin)
	}
	found := 0
	err := filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		found++
		return l.readFile(file)
	})
	if err == nil && found == 0 {
		return fmt.Errorf("%s: the folder contains no files", path)
	}
	return err
}

func (l *Logs) readFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(l.Read(path, file), file.Close())
}

// parseLine parses one line. It returns false if the line is truncated or is not a
// daemon's log line.
func parseLine(text string) (Line, bool) {
	start := strings.Index(text, lineStart)
	if start < 0 {
		return Line{}, false
	}
	line := Line{Fields: map[string]string{}}
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		if err := line.setField(string(decoder.Key()), string(decoder.Value())); err != nil {
			return Line{}, false
		}
	}
	complete := decoder.Err() == nil && !line.At.IsZero() && line.Daemon != "" && line.Event != ""
	return line, complete
}

func (l *Line) setField(key, value string) error {
	switch key {
	case "ts":
		at, err := time.Parse(time.RFC3339Nano, value)
		l.At = at
		return err
	case "daemon":
		l.Daemon = value
	case "event":
		l.Event = value
	case "level":
	default:
		l.Fields[key] = value
		l.Order = append(l.Order, key)
	}
	return nil
}
