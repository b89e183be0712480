package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/daemon/app"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/settings"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

// Fleet is a running fleet.
type Fleet struct {
	config    Config
	ca        *keys.DevCA
	secret    string
	platforms []*standin.Platform

	mu      sync.Mutex
	members []*member
}

// Start starts the stand-ins and the daemons, applies the live configuration and
// waits until it is in force and every daemon is ready for requests.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	if config.Daemons == 0 {
		config.Daemons = 1
	}
	f := &Fleet{config: config}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	f.makeMembers()
	if err := f.makeKeys(); err != nil {
		return err
	}
	if err := f.startPlatforms(); err != nil {
		return err
	}
	for _, m := range f.members {
		if err := f.startMember(m); err != nil {
			return err
		}
	}
	f.Platform().Hosts.Set(f.hosts())
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return f.configure(ctx)
}

// makeMembers distributes the daemons over the failure domains of the first site.
func (f *Fleet) makeMembers() {
	domains := f.config.Sites[0].Domains
	for i := range f.config.Daemons {
		domain := domains[i%len(domains)]
		name := id.Daemon(fmt.Sprintf("%s-%d", domain, i+1))
		f.members = append(f.members, &member{name: name, domain: id.Domain(domain)})
	}
}

// makeKeys creates the certificate authority of the daemons and generates the
// resume secret.
func (f *Fleet) makeKeys() error {
	secret := make([]byte, settings.MinSecretBytes)
	if _, err := rand.Read(secret); err != nil {
		return eris.Wrap(err, "generate the resume secret")
	}
	f.secret = hex.EncodeToString(secret)
	ca, err := keys.NewDevCA(time.Now())
	f.ca = ca
	return err
}

func (f *Fleet) startPlatforms() error {
	for _, cfg := range f.config.Sites {
		p, err := standin.StartPlatform(cfg)
		if err != nil {
			return err
		}
		f.platforms = append(f.platforms, p)
	}
	return nil
}

// hosts returns the host list of the running daemons.
func (f *Fleet) hosts() []wire.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var hosts []wire.Host
	for _, m := range f.members {
		if m.daemon == nil {
			continue
		}
		hosts = append(hosts, wire.Host{
			Name: string(m.name), Domain: string(m.domain), Address: m.daemon.PeerAddr(), State: "live",
		})
	}
	return hosts
}

// Platform returns the stand-ins of the first site.
func (f *Fleet) Platform() *standin.Platform { return f.platforms[0] }

// Inject sets a fault of a stand-in of any site: the first site that has the target
// applies it.
func (f *Fleet) Inject(fault wire.Fault) error {
	var last error
	for _, p := range f.platforms {
		if last = p.Inject(fault); last == nil {
			return nil
		}
	}
	return last
}

// CallerAddresses returns the addresses on which the running daemons listen for
// callers.
func (f *Fleet) CallerAddresses() []string {
	return f.addresses((*app.Daemon).CallerAddr)
}

// OperatorAddresses returns the addresses on which the running daemons listen for
// operators.
func (f *Fleet) OperatorAddresses() []string {
	return f.addresses((*app.Daemon).OperatorAddr)
}

func (f *Fleet) addresses(of func(*app.Daemon) string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, m := range f.members {
		if m.daemon != nil {
			out = append(out, of(m.daemon))
		}
	}
	return out
}

// Close kills the daemons, frees their addresses and closes the stand-ins.
func (f *Fleet) Close() {
	for i := range f.members {
		f.Kill(i)
	}
	for _, m := range f.members {
		m.release()
	}
	for _, p := range f.platforms {
		p.Close()
	}
}
