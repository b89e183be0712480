// Package settings reads the two kinds of configuration files: the start-up
// settings of one daemon, and the live configuration. Both are JSON with
// comments, read strictly: an unknown field is a fault. Every fault reports its
// file, line, column and field.
package settings

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Milliseconds is a duration in a settings file.
type Milliseconds int64

// Duration converts m to a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Settings are the start-up settings of one daemon. They do not change while
// the daemon runs; only the certificate and key files for TLS are read again.
type Settings struct {
	// Daemon is the daemon's name. It is unique in the fleet, and the daemon's
	// certificate for peers contains it. Required.
	Daemon id.Daemon `json:"daemon" validate:"required,max=64,printascii,excludesall=/ "`
	// Domain is the failure domain of the host. Required.
	Domain id.Domain `json:"domain" validate:"required,max=64,printascii"`
	// Listen holds the addresses that the daemon listens on. Required.
	Listen Listen `json:"listen"`
	// Advertise holds the addresses at which others reach the daemon.
	Advertise Advertise `json:"advertise"`
	// SeedPeers are the daemons from which the daemon learns the fleet's members
	// at the start. The daemon's own entry is ignored, so that all daemons may
	// have the same list. Default: none.
	SeedPeers []Peer `json:"seed_peers" validate:"max=1024,dive"`

	// CallersTLS is the certificate for serving callers and operators over
	// HTTPS. Without it they are served over plain HTTP, which InsecureCallers
	// must allow.
	CallersTLS *CertificateFiles `json:"callers_tls" validate:"omitempty"`
	// InsecureCallers allows plain HTTP towards callers and operators. Default false.
	InsecureCallers bool `json:"insecure_callers"`
	// PeersTLS holds the certificates for mutual TLS between daemons. Required.
	PeersTLS MutualFiles `json:"peers_tls"`
	// KeysPollMS is the interval at which the certificate and key files for TLS
	// are checked for changes, in milliseconds. Default 5000.
	KeysPollMS Milliseconds `json:"keys_poll_ms" validate:"min=100,max=3600000"`

	// ResumeKeys sign the tokens with which callers resume a stream: the first
	// key signs, and tokens signed by any of the keys are accepted. All daemons
	// of a fleet need the same keys. At least one key.
	ResumeKeys []ResumeKey `json:"resume_keys" validate:"min=1,max=16,dive"`
	// OperatorKeyHashes are SHA-256 hashes, in hex, of the operators' bearer
	// keys. At least one hash.
	OperatorKeyHashes []string `json:"operator_key_hashes" validate:"min=1,max=256,dive,len=64,hexadecimal,lowercase"`

	// Platform holds the addresses of the platform's services. Required.
	Platform Platform `json:"platform"`
	// Policy chooses the scheduling policy. Default "ledger".
	Policy Policy `json:"policy" validate:"oneof=ledger ledger-early optimistic naive"`
	// Membership configures how daemons monitor one another.
	Membership Membership `json:"membership"`
	// Limits bound the daemon's use of resources.
	Limits Limits `json:"limits"`
	// Timings holds the daemon's lifetimes and time limits.
	Timings Timings `json:"timings"`
	// Log configures the log, which goes to standard error.
	Log Log `json:"log"`
}

// Listen holds the listen addresses as IP:port; the IP 0.0.0.0 stands for all
// addresses of the host.
type Listen struct {
	// Callers is the TCP address for callers. Required.
	Callers string `json:"callers" validate:"required"`
	// Operators is the TCP address for operators. Required.
	Operators string `json:"operators" validate:"required"`
	// Peers is the UDP address for other daemons. Required.
	Peers string `json:"peers" validate:"required"`
	// Debug is the TCP address for metrics. Default: none; metrics are then not
	// served.
	Debug string `json:"debug"`
}

// Advertise holds the addresses at which others reach the daemon, as IP:port.
type Advertise struct {
	// Callers is the address announced to callers. Default: the listen address,
	// if it names one IP and port.
	Callers string `json:"callers"`
	// Peers is the address announced to other daemons. Default: the listen
	// address, if it names one IP and port.
	Peers string `json:"peers"`
}

// Peer is the name and address of a daemon.
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
	// CA is the path of the CA certificates that sign the daemons' certificates.
	// Required.
	CA string `json:"ca" validate:"required"`
}

// ResumeKey is one key for resume tokens; exactly one of SecretFile and
// SecretHex is set.
type ResumeKey struct {
	// ID identifies the key, 0 to 255.
	ID int `json:"id" validate:"min=0,max=255"`
	// SecretFile is the path of a file that holds the secret in hex.
	SecretFile string `json:"secret_file"`
	// SecretHex is the secret itself in hex, at least 32 bytes; for trials.
	SecretHex string `json:"secret_hex"`
}

// Platform holds the addresses of the platform's HTTP services, as IP:port.
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

// Policy is the name of a scheduling policy; docs/design compares the policies.
type Policy string

// The scheduling policies.
const (
	PolicyLedger      Policy = "ledger"
	PolicyLedgerEarly Policy = "ledger-early"
	PolicyOptimistic  Policy = "optimistic"
	PolicyNaive       Policy = "naive"
)

// MembershipMode determines which daemons monitor which others.
type MembershipMode string

// The modes of membership.
const (
	// MembershipMesh makes every daemon send heartbeats to every other daemon.
	MembershipMesh MembershipMode = "mesh"
	// MembershipPartial makes each daemon probe a few others and pass on the
	// states that it learns.
	MembershipPartial MembershipMode = "partial"
)

// Membership configures how daemons monitor one another. All daemons of a fleet
// need the same values.
type Membership struct {
	// Mode is "mesh" or "partial". Default "mesh".
	Mode MembershipMode `json:"mode" validate:"oneof=mesh partial"`
	// PeriodMS is the time between heartbeats, or probes, in milliseconds.
	// Default 250.
	PeriodMS Milliseconds `json:"period_ms" validate:"min=10,max=60000"`
	// SuspectAfterMS is the time without a message after which a daemon is
	// suspected to have failed, in milliseconds. Default 1000.
	SuspectAfterMS Milliseconds `json:"suspect_after_ms" validate:"min=10,max=600000"`
	// DeadAfterMS is the time without a message after which a daemon is
	// considered dead, in milliseconds. Default 2500.
	DeadAfterMS Milliseconds `json:"dead_after_ms" validate:"min=10,max=600000"`
}

// Limits bound the resources that the daemon uses at a time.
type Limits struct {
	// MaxBodyBytes bounds the body of any request, in bytes; a team's own limit
	// may be lower. Default 4194304.
	MaxBodyBytes int `json:"max_body_bytes" validate:"min=1024,max=67108864"`
	// MaxConnections bounds the open connections of callers. Default 8192.
	MaxConnections int `json:"max_connections" validate:"min=1,max=1000000"`
	// MaxConnectionsPerIP bounds the open connections of callers from one IP
	// address. Default 1024.
	MaxConnectionsPerIP int `json:"max_connections_per_ip" validate:"min=1,max=1000000"`
	// Workers bounds the short tasks that run at the same time: store calls,
	// orders, retries. Default 512.
	Workers int `json:"workers" validate:"min=1,max=65536"`
	// DutyRing is the capacity of the queue of one duty, in items. Default 4096.
	DutyRing int `json:"duty_ring" validate:"min=16,max=1048576"`
	// PeerRing is the capacity of the queue to one other daemon, in messages.
	// Default 1024.
	PeerRing int `json:"peer_ring" validate:"min=16,max=1048576"`
	// LogRing is the capacity of the queue of log lines to write, in lines.
	// Default 4096.
	LogRing int `json:"log_ring" validate:"min=16,max=1048576"`
	// JournalDecisions is the number of decisions kept in memory for explain,
	// each of at most about 1 KiB. Default 20000.
	JournalDecisions int `json:"journal_decisions" validate:"min=64,max=10000000"`
}

// Timings holds the daemon's lifetimes and time limits.
type Timings struct {
	// EntryLifetimeMS is how long callers may cache the list of addresses to
	// use, in milliseconds. Default 10000.
	EntryLifetimeMS Milliseconds `json:"entry_lifetime_ms" validate:"min=100,max=3600000"`
	// DrainMS is the maximum time for which a daemon continues to serve callers
	// during a planned stop, in milliseconds; at least the entry lifetime.
	// Default 60000.
	DrainMS Milliseconds `json:"drain_ms" validate:"min=100,max=3600000"`
	// StoreTimeoutMS bounds one call to the table or the object store, in
	// milliseconds. Default 1000.
	StoreTimeoutMS Milliseconds `json:"store_timeout_ms" validate:"min=10,max=60000"`
}

// LogLevel is the minimum level of the lines that are written.
type LogLevel string

// Log configures the log. Lines go to standard error: the hosts have no disks.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level LogLevel `json:"level" validate:"oneof=debug info warn error"`
}
