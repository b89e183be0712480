package live

import (
	"fmt"
	"net/netip"
	"strings"
	"unicode"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/samphirequay/samphirequay/core/apikey"
	"github.com/samphirequay/samphirequay/core/id"
)

// Bounds of the fields of a document.
const (
	// MaxNameBytes is the maximum length of an item's name, in bytes.
	MaxNameBytes = 128
	// MaxPriority is the highest priority of a service.
	MaxPriority = 9
	// MaxTimeoutMS is the maximum of every duration in a service, in
	// milliseconds: one hour.
	MaxTimeoutMS = 3600 * 1000
	// MaxBody is the maximum of Team.MaxBodyBytes, in bytes.
	MaxBody = 64 << 20
	// MaxSlots is the maximum of Endpoint.Slots.
	MaxSlots = 1 << 16
)

// Fault is one validation error of a document or a change.
type Fault struct {
	// Path is the path of the field, as in "services[2].pool".
	Path string `json:"path"`
	// Kind and Name identify the item.
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Message describes the fault for an operator.
	Message string `json:"message"`
}

// Error implements error.
func (f Fault) Error() string {
	return fmt.Sprintf("%s (%s %q): %s", f.Path, f.Kind, f.Name, f.Message)
}

// Check returns all faults of doc, by the kind of item and in the document's order;
// a document without faults may be accepted. It expects a normalized document.
func Check(doc *Document) []Fault {
	c := &checker{}
	c.teams(doc)
	c.pools(doc)
	c.services(doc)
	c.endpoints(doc)
	c.links(doc)
	return c.faults
}

// checker collects faults.
type checker struct{ faults []Fault }

// item is the item being checked.
type item struct {
	c     *checker
	kind  Kind
	path  string
	name  string
	names map[string]bool
}

// newItem starts the check of one item: its name must be valid and unique.
func (c *checker) newItem(kind Kind, list string, i int, name string, names map[string]bool) item {
	it := item{c: c, kind: kind, path: fmt.Sprintf("%s[%d]", list, i), name: name, names: names}
	if msg := nameFault(name); msg != "" {
		it.fault("name", "%s", msg)
	}
	if names[name] {
		it.fault("name", "the name is used twice")
	}
	names[name] = true
	return it
}

func (it item) fault(field, format string, args ...any) {
	f := Fault{Path: it.path + "." + field, Kind: it.kind, Name: it.name, Message: fmt.Sprintf(format, args...)}
	it.c.faults = append(it.c.faults, f)
}

// inRange reports a fault unless low <= v <= high.
func (it item) inRange(field string, v, low, high float64) {
	// The negated condition makes NaN a fault as well.
	if !(v >= low && v <= high) {
		it.fault(field, "%v is not between %v and %v", v, low, high)
	}
}

func (it item) selector(field, text string) {
	if _, err := labels.Parse(text); err != nil {
		it.fault(field, "bad selector: %v", err)
	}
}

func (it item) labels(l Labels) {
	for k := range l {
		if msg := nameFault(k); msg != "" {
			it.fault("labels", "a label's key: %s", msg)
			return
		}
	}
}

func nameFault(name string) string {
	if name == "" {
		return "is empty"
	}
	if len(name) > MaxNameBytes {
		return fmt.Sprintf("is longer than %d bytes", MaxNameBytes)
	}
	invalid := func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }
	if strings.ContainsFunc(name, invalid) {
		return "holds a space or a character that cannot be printed"
	}
	return ""
}

func (c *checker) teams(doc *Document) {
	names := map[string]bool{}
	hashes := map[apikey.Hash]bool{}
	for i, t := range doc.Teams {
		it := c.newItem(KindTeam, "teams", i, string(t.Name), names)
		it.labels(t.Labels)
		it.keyHashes(t, hashes)
		it.inRange("weight", t.Weight, 0.001, 1e6)
		it.inRange("max_in_flight", float64(t.MaxInFlight), 1, 1e6)
		it.inRange("max_body_bytes", float64(t.MaxBodyBytes), 1, MaxBody)
		it.inRange("retry_per_second", t.RetryPerSecond, 0, 1e6)
		it.inRange("limit_per_second", t.LimitPerSecond, 0, 1e12)
		it.inRange("limit_burst", t.LimitBurst, 0, 1e12)
		it.inRange("limit_plain_tokens", t.LimitPlainTokens, 0, 1e9)
	}
}

func (it item) keyHashes(t Team, seen map[apikey.Hash]bool) {
	for j, h := range t.KeyHashes {
		field := fmt.Sprintf("key_hashes[%d]", j)
		hash, err := apikey.Parse(h)
		if err != nil {
			it.fault(field, "%s", err)
			continue
		}
		if seen[hash] {
			it.fault(field, "the key is in use already")
		}
		seen[hash] = true
	}
}

func (c *checker) pools(doc *Document) {
	names := map[string]bool{}
	for i, p := range doc.Pools {
		it := c.newItem(KindPool, "pools", i, string(p.Name), names)
		it.labels(p.Labels)
		it.selector("endpoint_selector", p.EndpointSelector)
		if p.EndpointSelector == "" {
			it.fault("endpoint_selector", "is empty")
		}
		it.inRange("min_prefill", float64(p.MinPrefill), 0, 1e6)
		it.inRange("min_decode", float64(p.MinDecode), 0, 1e6)
		if p.Model == "" && (p.Adapter != "" || p.Version != "") {
			it.fault("model", "is empty but an adapter or a version is set")
		}
	}
}

func (c *checker) services(doc *Document) {
	pools := map[id.Pool]*Pool{}
	for i := range doc.Pools {
		pools[doc.Pools[i].Name] = &doc.Pools[i]
	}
	names := map[string]bool{}
	for i, s := range doc.Services {
		it := c.newItem(KindService, "services", i, string(s.Name), names)
		it.labels(s.Labels)
		it.serviceType(s, pools[s.Pool])
		it.selector("team_selector", s.TeamSelector)
		it.inRange("first_token_target_ms", float64(s.FirstTokenTargetMS), 1, MaxTimeoutMS)
		it.inRange("token_pace_target_ms", float64(s.TokenPaceTargetMS), 1, MaxTimeoutMS)
		it.inRange("patience_ms", float64(s.PatienceMS), 1, MaxTimeoutMS)
		it.inRange("waste_weight", s.WasteWeight, 0, 1)
		it.inRange("priority", float64(s.Priority), 0, MaxPriority)
		it.inRange("timeout_ms", float64(s.TimeoutMS), 1, MaxTimeoutMS)
	}
}

func (it item) serviceType(s Service, p *Pool) {
	if s.Type != ServiceModel && s.Type != ServicePlain {
		it.fault("type", "%q is neither %q nor %q", s.Type, ServiceModel, ServicePlain)
	}
	if p == nil {
		it.fault("pool", "there is no pool %q", s.Pool)
		return
	}
	if s.Type == ServiceModel && p.Model == "" {
		it.fault("pool", "a model service needs a pool with a model; %q has none", s.Pool)
	}
	if s.Type == ServicePlain && p.Model != "" {
		it.fault("pool", "a plain service needs a pool without a model; %q has one", s.Pool)
	}
}

func (c *checker) endpoints(doc *Document) {
	names := map[string]bool{}
	addresses := map[string]bool{}
	for i, e := range doc.Endpoints {
		it := c.newItem(KindEndpoint, "endpoints", i, string(e.Name), names)
		it.labels(e.Labels)
		it.address(e.Address, addresses)
		if e.Domain == "" {
			it.fault("domain", "is empty")
		}
		it.role(e.Labels[LabelRole])
		it.inRange("slots", float64(e.Slots), 1, MaxSlots)
		it.inRange("prefill_tokens_per_second", e.PrefillTokensPerSecond, 1, 1e9)
		it.inRange("decode_token_ms", e.DecodeTokenMS, 0.001, MaxTimeoutMS)
	}
}

func (it item) address(address string, seen map[string]bool) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 {
		it.fault("address", "%q is not an IP number and a port", address)
		return
	}
	if seen[ap.String()] {
		it.fault("address", "%q is used twice", address)
	}
	seen[ap.String()] = true
}

func (it item) role(role string) {
	switch Role(role) {
	case "", RolePrefill, RoleDecode, RolePlain:
	default:
		it.fault("labels", "role %q is unknown", role)
	}
}

func (c *checker) links(doc *Document) {
	names := map[string]bool{}
	for i, l := range doc.Links {
		it := c.newItem(KindLink, "links", i, l.Name, names)
		if l.From == "" || l.To == "" {
			it.fault("from", "a link needs both failure domains")
		}
		it.inRange("bytes_per_second", l.BytesPerSecond, 1, 1e15)
	}
}
