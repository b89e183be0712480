package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

func init() { cases["slow-reader"] = slowReader }

// slowReader: a daemon is stopped as planned while a caller reads its answer slowly.
func slowReader(w *world) []string {
	// The caller reads 1 MB/s at first, and 4 MB/s from slowFor on: all in 6.5 s.
	const size, piece, slow, fast, slowFor = 12 << 20, 32 << 10, 32 * time.Millisecond, 8 * time.Millisecond, 4500 * time.Millisecond
	runners, _ := deploy(w, 3, 14000)
	body := strings.Repeat("0123456789abcdef", size/16)
	for _, r := range runners {
		r.Answer(func(x *platformtest.Exchange) {
			if !x.ShouldRun() {
				x.AnswerNormally()
				return
			}
			x.Run()
			w.log("runner %s: runs %s", r.ID, x.RequestID())
			x.Respond(200, body, x.Signed(), "Content-Type: text/plain")
			w.log("runner %s: %s has been answered whole", r.ID, x.RequestID())
		})
	}
	var mu sync.Mutex
	var broken []string
	var callers sync.WaitGroup
	for i := range 1 {
		d := w.daemons[i]
		callers.Go(func() {
			id := fmt.Sprintf("report%d", i)
			dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10) })
			}}
			c, err := dialer.Dial("tcp", d.callers)
			must(err)
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(13 * time.Second))
			_, err = c.Write([]byte(post(id, "/slot/x", "read", 13*time.Second).Text()))
			must(err)
			sent := time.Now()
			resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4<<10), &http.Request{Method: "POST"})
			if err != nil {
				w.log("caller %s at %s: no answer: %v", id, d.name, err)
				return
			}
			w.log("caller %s at %s: status %d, begins to read %d bytes", id, d.name, resp.StatusCode, resp.ContentLength)
			got := 0
			buf := make([]byte, piece)
			for {
				n, err := io.ReadFull(resp.Body, buf)
				got += n
				if err == io.EOF {
					break
				}
				if err != nil && (err != io.ErrUnexpectedEOF || got < size) {
					w.log("caller %s at %s: the connection ended after %d of %d bytes, %v after the request: %v", id, d.name, got, size, time.Since(sent).Round(time.Millisecond), err)
					break
				}
				if time.Since(sent) < slowFor {
					time.Sleep(slow)
				} else {
					time.Sleep(fast)
				}
			}
			w.log("caller %s at %s: has %d of %d bytes after %v", id, d.name, got, size, time.Since(sent).Round(time.Millisecond))
			if got < size {
				mu.Lock()
				broken = append(broken, fmt.Sprintf("LOST: %s, passed on to a runner that answered it whole, ended with %d of %d bytes", id, got, size))
				mu.Unlock()
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	if !w.quiet {
		w.signal(w.daemons[0], syscall.SIGTERM)
	}
	callers.Wait()
	return broken
}
