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

// Start starts the stand-ins and the daemons, applies the live configuration
// and returns once every daemon takes requests with it.
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

// makeMembers spreads the daemons over the failure domains of the first site.
func (f *Fleet) makeMembers() {
	domains := f.config.Sites[0].Domains
	for i := range f.config.Daemons {
		domain := domains[i%len(domains)]
		name := id.Daemon(fmt.Sprintf("%s-%d", domain, i+1))
		f.members = append(f.members, &member{name: name, domain: id.Domain(domain)})
	}
}

// makeKeys makes the authority of the daemons' certificates and draws the
// resume secret.
func (f *Fleet) makeKeys() error {
	secret := make([]byte, settings.MinSecretBytes)
	if _, err := rand.Read(secret); err != nil {
		return eris.Wrap(err, "resume secret")
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

// hosts is the host list of the daemons that run.
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

// Platform is the first site's stand-ins.
func (f *Fleet) Platform() *standin.Platform { return f.platforms[0] }

// Inject sets faults of a stand-in of any site.
func (f *Fleet) Inject(fault wire.Fault) error {
	var last error
	for _, p := range f.platforms {
		if last = p.Inject(fault); last == nil {
			return nil
		}
	}
	return last
}

// CallerAddresses are where the daemons that run listen for callers.
func (f *Fleet) CallerAddresses() []string {
	return f.addresses((*app.Daemon).CallerAddr)
}

// OperatorAddresses are where the daemons that run listen for operators.
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

// Close kills the daemons and ends the stand-ins.
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
