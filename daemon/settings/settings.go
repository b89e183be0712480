// Package settings reads the two kinds of files: the start-up settings of one
// daemon, and the live configuration. Both are JSON with comments, read
// strictly: an unknown field is a fault. Every fault names its file, line,
// column and field.
package settings

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Milliseconds is a duration as it stands in a file.
type Milliseconds int64

// Duration gives it as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Settings are the start-up settings of one daemon. They do not change while it
// runs; only the files of keys are read again.
type Settings struct {
	// Daemon is the daemon's name, unique in the fleet; its peer certificate
	// names it. Required.
	Daemon id.Daemon `json:"daemon" validate:"required,max=64,printascii,excludesall=/ "`
	// Domain is the failure domain that the host stands in. Required.
	Domain id.Domain `json:"domain" validate:"required,max=64,printascii"`
	// Listen holds the addresses that the daemon listens on. Required.
	Listen Listen `json:"listen"`
	// Advertise holds the addresses under which others reach the daemon.
	Advertise Advertise `json:"advertise"`
	// SeedPeers are the daemons to ask for the fleet at the start. The daemon's
	// own entry is passed over, so that all daemons may have the same list.
	// Default: none.
	SeedPeers []Peer `json:"seed_peers" validate:"max=1024,dive"`

	// CallersTLS serves callers and operators by HTTPS. Without it they are
	// served by plain HTTP, which InsecureCallers must allow.
	CallersTLS *CertificateFiles `json:"callers_tls" validate:"omitempty"`
	// InsecureCallers allows plain HTTP towards callers and operators. Default false.
	InsecureCallers bool `json:"insecure_callers"`
	// PeersTLS is for mutual TLS between daemons. Required.
	PeersTLS MutualFiles `json:"peers_tls"`
	// KeysPollMS is how often the files of keys are looked at for changes, in
	// milliseconds. Default 5000.
	KeysPollMS Milliseconds `json:"keys_poll_ms" validate:"min=100,max=3600000"`

	// ResumeKeys sign the tokens with which callers resume a stream; the first
	// one signs, all are accepted. Every daemon of a fleet has the same ones.
	// At least one.
	ResumeKeys []ResumeKey `json:"resume_keys" validate:"min=1,max=16,dive"`
	// OperatorKeyHashes are SHA-256 hashes, in hex, of the operators' bearer
	// keys. At least one.
	OperatorKeyHashes []string `json:"operator_key_hashes" validate:"min=1,max=256,dive,len=64,hexadecimal,lowercase"`

	// Platform holds the addresses of the platform's services. Required.
	Platform Platform `json:"platform"`
	// Policy chooses the scheduling policy. Default "ledger".
	Policy Policy `json:"policy" validate:"oneof=ledger ledger-early optimistic naive"`
	// Membership sets how daemons watch one another.
	Membership Membership `json:"membership"`
	// Limits bound what the daemon holds.
	Limits Limits `json:"limits"`
	// Timings of the daemon.
	Timings Timings `json:"timings"`
	// Log sets what is logged, to standard error.
	Log Log `json:"log"`
}

// Listen holds addresses as IP:port; the IP 0.0.0.0 stands for all of the
// host's.
type Listen struct {
	// Callers is the TCP address for callers. Required.
	Callers string `json:"callers" validate:"required"`
	// Operators is the TCP address for operators. Required.
	Operators string `json:"operators" validate:"required"`
	// Peers is the UDP address for other daemons. Required.
	Peers string `json:"peers" validate:"required"`
	// Debug is the TCP address for metrics. Default: none, no metrics are served.
	Debug string `json:"debug"`
}

// Advertise holds the addresses under which others reach the daemon, as IP:port.
type Advertise struct {
	// Callers is what callers are told. Default: the listen address, where that
	// names one IP.
	Callers string `json:"callers"`
	// Peers is what other daemons are told. Default: the listen address, where
	// that names one IP.
	Peers string `json:"peers"`
}

// Peer is another daemon.
type Peer struct {
	// Name of the daemon. Required.
	Name id.Daemon `json:"name" validate:"required"`
	// Address for peers, as IP:port, UDP. Required.
	Address string `json:"address" validate:"required"`
}

// CertificateFiles names PEM files.
type CertificateFiles struct {
	// Cert is the path of the certificate with its chain. Required.
	Cert string `json:"cert" validate:"required"`
	// Key is the path of the private key. Required.
	Key string `json:"key" validate:"required"`
}

// MutualFiles names PEM files for mutual TLS.
type MutualFiles struct {
	// Cert is the path of this daemon's certificate with its chain. Required.
	Cert string `json:"cert" validate:"required"`
	// Key is the path of its private key. Required.
	Key string `json:"key" validate:"required"`
	// CA is the path of the certificates that sign the daemons'. Required.
	CA string `json:"ca" validate:"required"`
}

// ResumeKey is one key for resume tokens; exactly one of SecretFile and
// SecretHex is set.
type ResumeKey struct {
	// ID tells keys apart, 0 to 255.
	ID int `json:"id" validate:"min=0,max=255"`
	// SecretFile is the path of a file that holds the secret in hex.
	SecretFile string `json:"secret_file"`
	// SecretHex is the secret in hex, at least 32 bytes; for trials.
	SecretHex string `json:"secret_hex"`
}

// Platform holds the addresses of the platform's services, as IP:port; they
// speak HTTP.
type Platform struct {
	// Table is the transactional table service. Required.
	Table string `json:"table" validate:"required"`
	// Objects is the object store. Required.
	Objects string `json:"objects" validate:"required"`
	// Hosts is the host list. Required.
	Hosts string `json:"hosts" validate:"required"`
	// Weights is the weight store. Required.
	Weights string `json:"weights" validate:"required"`
}

// Policy names a scheduling policy; docs/design compares them.
type Policy string

// The policies.
const (
	PolicyLedger      Policy = "ledger"
	PolicyLedgerEarly Policy = "ledger-early"
	PolicyOptimistic  Policy = "optimistic"
	PolicyNaive       Policy = "naive"
)

// MembershipMode says which daemons watch which.
type MembershipMode string

// The modes of membership.
const (
	// MembershipMesh: every daemon sends heartbeats to every other one.
	MembershipMesh MembershipMode = "mesh"
	// MembershipPartial: each daemon probes a few and passes on what it heard.
	MembershipPartial MembershipMode = "partial"
)

// Membership sets how daemons watch one another. All daemons of a fleet have
// the same.
type Membership struct {
	// Mode is "mesh" or "partial". Default "mesh".
	Mode MembershipMode `json:"mode" validate:"oneof=mesh partial"`
	// PeriodMS is the time between heartbeats, or probes, in milliseconds. Default 250.
	PeriodMS Milliseconds `json:"period_ms" validate:"min=10,max=60000"`
	// SuspectAfterMS is the silence after which a daemon is suspected, in
	// milliseconds. Default 1000.
	SuspectAfterMS Milliseconds `json:"suspect_after_ms" validate:"min=10,max=600000"`
	// DeadAfterMS is the silence after which a daemon is taken for dead, in
	// milliseconds. Default 2500.
	DeadAfterMS Milliseconds `json:"dead_after_ms" validate:"min=10,max=600000"`
}

// Limits bound what the daemon holds at once.
type Limits struct {
	// MaxBodyBytes bounds the body of any request, in bytes; a team's own bound
	// may be lower. Default 4194304.
	MaxBodyBytes int `json:"max_body_bytes" validate:"min=1024,max=67108864"`
	// MaxConnections bounds the connections of callers. Default 8192.
	MaxConnections int `json:"max_connections" validate:"min=1,max=1000000"`
	// MaxConnectionsPerIP bounds the connections of callers with one IP
	// number. Default 1024.
	MaxConnectionsPerIP int `json:"max_connections_per_ip" validate:"min=1,max=1000000"`
	// Workers bounds the short work that runs at once: store calls, orders,
	// retries. Default 512.
	Workers int `json:"workers" validate:"min=1,max=65536"`
	// DutyRing is how many items may wait before a duty. Default 4096.
	DutyRing int `json:"duty_ring" validate:"min=16,max=1048576"`
	// PeerRing is how many messages may wait for one other daemon. Default 1024.
	PeerRing int `json:"peer_ring" validate:"min=16,max=1048576"`
	// LogRing is how many lines may wait to be written. Default 4096.
	LogRing int `json:"log_ring" validate:"min=16,max=1048576"`
	// JournalDecisions is how many decisions are kept in memory for explain, each
	// of at most about 1 KiB.
	// Default 20000.
	JournalDecisions int `json:"journal_decisions" validate:"min=64,max=10000000"`
}

// Timings of the daemon.
type Timings struct {
	// EntryLifetimeMS is how long callers may keep an answer that tells them
	// which addresses to use, in milliseconds. Default 10000.
	EntryLifetimeMS Milliseconds `json:"entry_lifetime_ms" validate:"min=100,max=3600000"`
	// DrainMS is how long a planned stop goes on serving callers at most, in
	// milliseconds; at least the entry lifetime. Default 60000.
	DrainMS Milliseconds `json:"drain_ms" validate:"min=100,max=3600000"`
	// StoreTimeoutMS bounds one call to the table or the object store, in
	// milliseconds. Default 1000.
	StoreTimeoutMS Milliseconds `json:"store_timeout_ms" validate:"min=10,max=60000"`
}

// LogLevel is the least level that is written.
type LogLevel string

// Log sets what is logged. Lines go to standard error: the hosts have no disks.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level LogLevel `json:"level" validate:"oneof=debug info warn error"`
}
