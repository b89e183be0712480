package app

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/standin"
)

// TestADaemonThatHadNoDescriptorTakesCallersAgain guards against a listener that nobody serves
// after accept has failed once.
func TestADaemonThatHadNoDescriptorTakesCallersAgain(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, standin.Bunker(), nil)
	d := f.daemons[0]
	at, err := net.ResolveTCPAddr("tcp4", d.CallerAddr())
	is.NoErr(err)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	var before unix.Rlimit
	is.NoErr(unix.Getrlimit(unix.RLIMIT_NOFILE, &before))
	is.NoErr(unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 1, Max: before.Max}))
	connected := unix.Connect(fd, &unix.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())})
	for end := time.Now().Add(time.Minute); connected == nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
		if strings.Contains(acceptsFailed(d.metrics).String(), `"callers"`) {
			break
		}
	}
	is.NoErr(unix.Setrlimit(unix.RLIMIT_NOFILE, &before))
	is.NoErr(connected)
	is.NoErr(unix.Close(fd))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}
	resp, err := client.Get("http://" + d.CallerAddr() + opapi.PathHealth)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
}
