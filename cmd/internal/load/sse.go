package load

import (
	"bufio"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one line of an event stream, in bytes.
const maxEventBytes = 1 << 20

// event is one server-sent event.
type event struct {
	id   string
	name string
	data string
}

// eventReader reads server-sent events from a stream.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &eventReader{scanner: s}
}

// next returns the next event with data and skips comments. It returns io.EOF at
// the end of the stream and discards an incomplete last event.
func (r *eventReader) next() (event, error) {
	var e event
	var data []string
	for r.scanner.Scan() {
		line := r.scanner.Text()
		if line == "" {
			if len(data) == 0 {
				e = event{}
				continue
			}
			e.data = strings.Join(data, "\n")
			return e, nil
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			e.id = value
		case "event":
			e.name = value
		case "data":
			data = append(data, value)
		}
	}
	if err := r.scanner.Err(); err != nil {
		return event{}, eris.Wrap(err, "read event stream")
	}
	return event{}, io.EOF
}
