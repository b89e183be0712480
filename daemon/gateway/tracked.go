package gateway

import (
	"io"
	"sync"
)

// tracked is the body of a stream that tells once when it has ended.
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
