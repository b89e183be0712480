// Package logstory joins what several daemons logged about one request into one
// story, oldest line first, and says where it is silent.
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

// Line is one line of a log.
type Line struct {
	At     time.Time
	Daemon string
	Event  string
	// Fields holds all other pairs, Order their keys as they stand.
	Fields map[string]string
	Order  []string
}

// lineStart begins each line of a daemon's log; collectors may write before it.
const lineStart = "ts="

// maxLine bounds one line, in bytes.
const maxLineBytes = 1 << 20

// Logs are the lines that were read.
type Logs struct {
	Lines []Line
	// Unreadable counts lines that are no daemon's, or were cut off.
	Unreadable int
}

// Read adds the lines of a log.
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

// ReadPath adds a file, or all files under a folder; "-" stands for stdin.
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
		return fmt.Errorf("%s: no files there", path)
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

// parse reads one line.
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
