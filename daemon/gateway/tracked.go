package gateway

import (
	"io"
	"sync"
)

// trackedStream is the body of a stream. It calls ended once when it is closed.
type trackedStream struct {
	io.ReadCloser
	once  sync.Once
	ended func()
}

// Close implements io.Closer.
func (t *trackedStream) Close() error {
	err := t.ReadCloser.Close()
	t.once.Do(t.ended)
	return err
}
