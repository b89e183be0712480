package callerconn

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// Answers counts the requests whose answers have not been written whole. A fasthttp.Server
// writes an answer after its handler has returned, and a caller may read it slowly. The zero
// value is ready to use. It is safe for concurrent use.
type Answers struct {
	mu   sync.Mutex
	owed map[net.Conn]struct{}
}

// Owe records that a connection's request is to be answered.
func (a *Answers) Owe(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.owed == nil {
		a.owed = map[net.Conn]struct{}{}
	}
	a.owed[c] = struct{}{}
}

// State records that an answer has been written, or that its connection has ended; it is a
// fasthttp.Server's ConnState.
func (a *Answers) State(c net.Conn, state fasthttp.ConnState) {
	if state != fasthttp.StateIdle && state != fasthttp.StateClosed {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.owed, c)
}

// Owed returns how many requests wait for their answer, or for the rest of it.
func (a *Answers) Owed() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.owed)
}
