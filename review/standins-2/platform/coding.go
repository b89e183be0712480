package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// unreadCoding sends calls whose bodies hold the text of another call.
func unreadCoding(b *bench) {
	b.configure(3)
	daemons := b.startDaemons(3)
	var runners []*platformtest.Runner
	for i := range 2 {
		r, err := platformtest.StartRunner(fmt.Sprintf("i-desk-%d", i), "orderdesk", "")
		if err != nil {
			b.fail("%v", err)
		}
		defer r.Close()
		r.Slots = 6
		b.store.Register(r, platformtest.StateReady, r.Address())
		runners = append(runners, r)
	}
	time.Sleep(3 * time.Second) // the daemons know all runners
	for n := range 6 {
		outer, inner := fmt.Sprintf("q%04x", 0xb000+n), fmt.Sprintf("q%04x", 0xc000+n)
		within := platformtest.Request{Method: "POST", Target: "/stem/inner", Host: host, ID: inner, Patience: time.Second}
		body := within.Text()
		framing := fmt.Sprintf("Content-Length: %d", len(body))
		if b.trouble {
			framing = "Transfer-Encoding: identity"
		}
		text := "POST /stem/outer HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + outer + "\r\nDeadline-Ms: 1000\r\n" + framing + "\r\n\r\n" + body
		d := daemons[n%len(daemons)]
		c, err := net.DialTimeout("tcp", d.callers, time.Second)
		if err != nil {
			b.fail("%v", err)
		}
		_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
		b.note("caller sends to %s: %q", d.name, text)
		if _, err := io.WriteString(c, text); err != nil {
			b.fail("%v", err)
		}
		answer, _ := io.ReadAll(c)
		_ = c.Close()
		b.note("caller got %q", answer)
		for _, r := range runners {
			for _, s := range r.Seen() {
				id := s.Header["Request-Id"]
				if !strings.HasPrefix(s.Target, "/stem/") || (id != outer && id != inner) {
					continue
				}
				b.note("runner %s got %s %s id %s body %q, runs of it: %d", r.ID, s.Method, s.Target, id, s.Body, r.Ran(id))
				switch {
				case id == inner && r.Ran(id) > 0:
					b.breaks("UNASKED: %s ran %s, which stood in the body of %s", r.ID, inner, outer)
				case id == outer && s.Body != body:
					b.breaks("UNASKED: %s ran %s with a body of %d bytes, not %d", r.ID, outer, len(s.Body), len(body))
				}
			}
		}
		if !b.trouble && !strings.HasPrefix(string(answer), "HTTP/1.1 200") {
			b.fail("a sound call was not answered: %q", answer)
		}
	}
}
