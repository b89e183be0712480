package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"sync"
	"unicode"

	"github.com/go-playground/validator/v10"

	"github.com/samphirequay/samphirequay/core/id"
)

// fieldFault is a fault of a field, without its file, line and column.
type fieldFault struct{ field, message string }

// validate returns the validator for the validate tags. It reports fields by
// their JSON names.
var validate = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return jsonName(f) })
	return v
})

// Validate fills in the derived fields of settings that were not read from a
// file, and returns all their faults, or nil.
func (s *Settings) Validate() error {
	s.derive()
	var faults Faults
	for _, f := range s.check() {
		faults = append(faults, Fault{File: "settings", Field: f.field, Message: f.message})
	}
	return faults.Err()
}

// check returns all faults of the settings.
func (s *Settings) check() []fieldFault {
	c := &checker{}
	c.validateTags(s)
	c.listen(s)
	c.advertise(s.Advertise)
	c.seedPeers(s.SeedPeers)
	c.platform(s.Platform)
	c.callersTLS(s)
	c.resumeKeys(s.ResumeKeys)
	c.membership(s.Membership)
	c.timings(s.Timings)
	return c.faults
}

type checker struct{ faults []fieldFault }

func (c *checker) addFault(field, format string, args ...any) {
	c.faults = append(c.faults, fieldFault{field, fmt.Sprintf(format, args...)})
}

// validateTags applies the validate tags and records the violations.
func (c *checker) validateTags(s any) {
	err := validate().Struct(s)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return
	}
	for _, e := range violations {
		_, field, _ := strings.Cut(e.Namespace(), ".")
		c.addFault(field, "%s", ruleMessage(e))
	}
}

func ruleMessage(e validator.FieldError) string {
	switch e.Tag() {
	case "required":
		return "is missing"
	case "oneof":
		return fmt.Sprintf("is %q, want one of: %s", fmt.Sprint(e.Value()), strings.ReplaceAll(e.Param(), " ", ", "))
	case "min":
		return fmt.Sprintf("is %s, must be at least %s", size(e), e.Param())
	case "max":
		return fmt.Sprintf("is %s, must be at most %s", size(e), e.Param())
	case "excluded_without":
		return fmt.Sprintf("needs %s", snakeCase(e.Param()))
	case "len", "hexadecimal", "lowercase":
		return "is not a SHA-256 hash in lower-case hex"
	default:
		return fmt.Sprintf("violates the rule %s %s", e.Tag(), e.Param())
	}
}

// snakeCase returns the JSON name of a field whose Go name has no initialisms.
func snakeCase(name string) string {
	var out strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			out.WriteByte('_')
		}
		out.WriteRune(unicode.ToLower(r))
	}
	return out.String()
}

// size formats the value that min and max compare: the length of strings and
// lists, and the value of numbers.
func size(e validator.FieldError) string {
	v := reflect.ValueOf(e.Value())
	switch v.Kind() {
	case reflect.Slice, reflect.String:
		return fmt.Sprintf("%d long", v.Len())
	default:
		return fmt.Sprint(e.Value())
	}
}

// listen checks the listen addresses, and that no two TCP listeners conflict.
// The peers' address is UDP and may have the port number of a TCP listener.
func (c *checker) listen(s *Settings) {
	listeners := []struct{ field, address string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.operators", s.Listen.Operators},
		{"listen.debug", s.Listen.Debug},
	}
	taken := make(map[string]netip.AddrPort)
	for _, l := range listeners {
		address, ok := c.address(l.field, l.address, allowZeroPort)
		if !ok || address.Port() == 0 {
			continue
		}
		for _, other := range listeners {
			if earlier, set := taken[other.field]; set && conflict(earlier, address) {
				c.addFault(l.field, "%s conflicts with %s on %s", l.address, other.field, earlier)
			}
		}
		taken[l.field] = address
	}
	c.address("listen.peers", s.Listen.Peers, allowZeroPort)
}

// conflict reports whether two TCP listeners cannot both be opened: they have
// the same port, and equal IPs or an unspecified one.
func conflict(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// portRule determines whether port 0, which stands for any free port, is
// allowed.
type portRule bool

const (
	allowZeroPort portRule = true
	requirePort   portRule = false
)

// address parses an IP:port and checks its port. It reports false for an empty
// address without recording a fault: the validate tags find missing addresses.
func (c *checker) address(field, text string, rule portRule) (netip.AddrPort, bool) {
	if text == "" {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		c.addFault(field, "%q is not an IP:port: %v", text, err)
		return netip.AddrPort{}, false
	}
	if address.Port() == 0 && rule == requirePort {
		c.addFault(field, "%q has no port", text)
		return netip.AddrPort{}, false
	}
	return address, true
}

// reachable checks an address that other processes connect to: it needs a port
// and a specific IP.
func (c *checker) reachable(field, text string) {
	address, ok := c.address(field, text, requirePort)
	if ok && address.Addr().IsUnspecified() {
		c.addFault(field, "%q does not name a host", text)
	}
}

func (c *checker) advertise(a Advertise) {
	missing := "is missing, and the listen address does not name a single host and port"
	if a.Callers == "" {
		c.addFault("advertise.callers", "%s", missing)
	}
	if a.Peers == "" {
		c.addFault("advertise.peers", "%s", missing)
	}
	c.reachable("advertise.callers", a.Callers)
	c.reachable("advertise.peers", a.Peers)
}

func (c *checker) seedPeers(peers []Peer) {
	names := make(map[id.Daemon]bool)
	addresses := make(map[string]bool)
	for i, p := range peers {
		field := fmt.Sprintf("seed_peers[%d]", i)
		c.reachable(field+".address", p.Address)
		if names[p.Name] {
			c.addFault(field+".name", "%q is used twice", p.Name)
		}
		if addresses[p.Address] {
			c.addFault(field+".address", "%q is used twice", p.Address)
		}
		names[p.Name] = true
		addresses[p.Address] = true
	}
}

func (c *checker) platform(p Platform) {
	c.reachable("platform.table", p.Table)
	c.reachable("platform.objects", p.Objects)
	c.reachable("platform.hosts", p.Hosts)
	c.reachable("platform.weights", p.Weights)
}

func (c *checker) callersTLS(s *Settings) {
	if s.CallersTLS == nil && !s.InsecureCallers {
		c.addFault("callers_tls", `is missing; plain HTTP requires "insecure_callers": true`)
	}
	if s.CallersTLS != nil && s.InsecureCallers {
		c.addFault("insecure_callers", "contradicts callers_tls")
	}
}

func (c *checker) membership(m Membership) {
	if m.SuspectAfterMS <= m.PeriodMS {
		c.addFault("membership.suspect_after_ms", "is %d, must be greater than period_ms, %d", m.SuspectAfterMS, m.PeriodMS)
	}
	if m.DeadAfterMS <= m.SuspectAfterMS {
		c.addFault("membership.dead_after_ms", "is %d, must be greater than suspect_after_ms, %d", m.DeadAfterMS, m.SuspectAfterMS)
	}
}

func (c *checker) timings(t Timings) {
	if t.DrainMS < t.EntryLifetimeMS {
		c.addFault("timings.drain_ms", "is %d, must be at least entry_lifetime_ms, %d: callers may keep an address that long", t.DrainMS, t.EntryLifetimeMS)
	}
}
