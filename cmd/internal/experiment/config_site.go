package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

// Modes of the experiment: a fleet in this process, or daemons in processes of
// their own.
const (
	modeInProcess = "in-process"
	modeProcesses = "processes"
)

// Environment variables and files that scripts/fleet.sh provides to the command
// that it runs.
const (
	envFleetDir    = "FLEET_DIR"
	envOperatorKey = "SAMPHIREQUAY_OPERATOR_KEY"
	fileDaemons    = "daemons"
	filePlatform   = "platform.json"
)

// Timing of the replacement of daemons in this process.
const (
	churnDowntime = 700 * time.Millisecond
	churnInterval = 1500 * time.Millisecond
)

// configSite is the fleet whose configuration is changed.
type configSite interface {
	mode() string
	key() string
	// members is the number of members, with or without a running daemon.
	members() int
	// address is the operator address of a member's daemon; empty if it has no
	// running daemon.
	address(member int) string
	// inject sets a fault of a stand-in.
	inject(f wire.Fault) error
	// churn kills and replaces daemons until ctx ends.
	churn(ctx context.Context)
	close()
}

// openConfigSite attaches to the processes of scripts/fleet.sh if this script runs
// the command; otherwise it starts a fleet in this process.
func openConfigSite(ctx context.Context, env Env) (configSite, error) {
	if dir := os.Getenv(envFleetDir); dir != "" {
		return attachProcesses(dir)
	}
	sites := []standin.PlatformConfig{standin.Bunker()}
	f, err := fleet.Start(ctx, fleet.Config{Sites: sites, Daemons: max(env.Daemons, configDaemons)})
	if err != nil {
		return nil, err
	}
	return &inProcessFleet{fleet: f}, nil
}

// inProcessFleet is a fleet in this process.
type inProcessFleet struct{ fleet *fleet.Fleet }

func (s *inProcessFleet) mode() string              { return modeInProcess }
func (s *inProcessFleet) key() string               { return s.fleet.OperatorKey() }
func (s *inProcessFleet) members() int              { return s.fleet.Members() }
func (s *inProcessFleet) inject(f wire.Fault) error { return s.fleet.Inject(f) }
func (s *inProcessFleet) close()                    { s.fleet.Close() }

func (s *inProcessFleet) address(member int) string {
	daemon := s.fleet.Daemon(member)
	if daemon == nil {
		return ""
	}
	return daemon.OperatorAddr()
}

func (s *inProcessFleet) churn(ctx context.Context) {
	for member := 0; ctx.Err() == nil; member = (member + 1) % s.members() {
		s.fleet.Kill(member)
		// When ctx ends, the daemon is still replaced, so that the fleet is
		// complete; the error of the wait is not needed.
		_ = sleep(ctx, churnDowntime)
		if s.fleet.Replace(member) != nil {
			return
		}
		_ = sleep(ctx, churnInterval)
	}
}

// processFleet is a fleet of daemon processes. scripts/fleet.sh starts them, and
// scripts/experiment-config.sh kills and replaces them.
type processFleet struct {
	operatorKey string
	addresses   []string
	control     string
}

// attachProcesses reads the addresses that scripts/fleet.sh wrote to dir.
func attachProcesses(dir string) (*processFleet, error) {
	p := &processFleet{operatorKey: os.Getenv(envOperatorKey)}
	raw, err := os.ReadFile(filepath.Join(dir, fileDaemons))
	if err != nil {
		return nil, err
	}
	for text := range strings.Lines(string(raw)) {
		// The fields are name, process id, caller address and operator address.
		fields := strings.Fields(text)
		if len(fields) != 4 {
			return nil, fmt.Errorf("%s: line %q does not have four fields", fileDaemons, text)
		}
		p.addresses = append(p.addresses, fields[3])
	}
	raw, err = os.ReadFile(filepath.Join(dir, filePlatform))
	if err != nil {
		return nil, err
	}
	var at standin.Addresses
	if err := json.Unmarshal(raw, &at); err != nil {
		return nil, fmt.Errorf("%s: %w", filePlatform, err)
	}
	p.control = at.Control
	return p, nil
}

func (p *processFleet) mode() string              { return modeProcesses }
func (p *processFleet) key() string               { return p.operatorKey }
func (p *processFleet) members() int              { return len(p.addresses) }
func (p *processFleet) address(member int) string { return p.addresses[member] }

// churn does nothing: scripts/experiment-config.sh kills and replaces the daemons.
func (p *processFleet) churn(context.Context) {}
func (p *processFleet) close()                {}

func (p *processFleet) inject(f wire.Fault) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+p.control+wire.PathControl, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("control %s: status %d", p.control, resp.StatusCode)
	}
	return nil
}
