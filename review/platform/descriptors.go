package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

func init() { cases["descriptors"] = descriptors }

// descriptors: many callers keep connections open, beyond the descriptors of a machine, and
// close them again.
func descriptors(w *world) []string {
	const maxFDs, contact, callers = 4100, 4 * time.Second, 10
	connections := 4300
	if w.quiet {
		connections = 200
	}
	deploy(w, 2, 5000)
	d := w.daemons[0]
	limit := unix.Rlimit{Cur: maxFDs, Max: maxFDs}
	must(unix.Prlimit(d.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	w.log("host %s: %d descriptors", d.name, maxFDs)

	// The platform asks for readiness once a second, on one connection.
	client := &http.Client{Timeout: time.Second}
	ready := func() bool {
		resp, err := client.Get("http://" + d.ready + "/samphirequay/readyz")
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	stop, asked := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	unready := 0
	go func() {
		defer close(asked)
		for tick := time.NewTicker(time.Second); ; {
			ok := ready()
			w.log("platform: ready %v", ok)
			mu.Lock()
			if !ok {
				unready++
			}
			mu.Unlock()
			select {
			case <-stop:
				return
			case <-tick.C:
			}
		}
	}()

	if got := call(d.callers, post("before", "/slot/x", "b", time.Second), nil); got.status != 200 {
		panic(check{fmt.Errorf("no answer at first: %d, %v", got.status, got.err)})
	}
	var open []net.Conn
	for range connections {
		c, err := net.DialTimeout("tcp", d.callers, time.Second)
		if err != nil {
			break
		}
		open = append(open, c)
	}
	w.log("callers: %d connections are open", len(open))
	time.Sleep(2 * time.Second)
	for _, c := range open {
		_ = c.Close()
	}
	w.log("callers: all are closed again")
	time.Sleep(contact + time.Second)

	mu.Lock()
	unready = 0
	mu.Unlock()
	began := time.Now()
	answered, tried := 0, 0
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			for n := 0; time.Since(began) < contact+time.Second; n++ {
				id := fmt.Sprintf("after%d-%d", i, n)
				got := call(d.callers, post(id, "/slot/x", "b", time.Second), nil)
				w.log("caller %s: status %d, %v", id, got.status, got.err)
				mu.Lock()
				tried++
				if got.status != 0 {
					answered++
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	all.Wait()
	close(stop)
	<-asked
	w.log("%d new connections by %d callers in %v, %d answered; questions without a 200: %d; runs: %v",
		tried, callers, time.Since(began).Round(time.Millisecond), answered, unready, w.running(d))
	if answered == 0 && unready == 0 {
		return []string{fmt.Sprintf("RECOVER: %s says that it is ready and has taken none of %d new connections of %d callers in %v", d.name, tried, callers, time.Since(began).Round(time.Second))}
	}
	return nil
}
