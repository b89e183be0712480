package peer

import (
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// kindCount is the number of possible kinds.
const kindCount = 1 << 8

// KindTraffic counts the traffic of one kind since the start. Byte counts are those
// of frames, before encryption and packet headers.
type KindTraffic struct {
	Sent          uint64 `json:"sent"`
	SentBytes     uint64 `json:"sent_bytes"`
	Received      uint64 `json:"received"`
	ReceivedBytes uint64 `json:"received_bytes"`
	// Lost counts messages that were accepted for sending and then dropped.
	Lost uint64 `json:"lost"`
}

// WireTraffic counts QUIC packets since the start, with all overhead except UDP and
// IP headers.
type WireTraffic struct {
	SentBytes       uint64 `json:"sent_bytes"`
	SentPackets     uint64 `json:"sent_packets"`
	ReceivedBytes   uint64 `json:"received_bytes"`
	ReceivedPackets uint64 `json:"received_packets"`
	Connections     int    `json:"connections"`
}

type kindCounters struct {
	sent, sentBytes, received, receivedBytes, lost atomic.Uint64
}

type traffic struct {
	kinds [kindCount]kindCounters
	name  func(Kind) string

	sent, sentBytes, received, receivedBytes, lost *metrics.CounterMap
}

func newTraffic(registry *metrics.Registry, name func(Kind) string) *traffic {
	return &traffic{
		name:          name,
		sent:          registry.CounterMap("peer_sent", metrics.UnitCount, "Messages sent to peers, by kind."),
		sentBytes:     registry.CounterMap("peer_sent_bytes", metrics.UnitBytes, "Bytes of messages sent to peers, by kind, before encryption."),
		received:      registry.CounterMap("peer_received", metrics.UnitCount, "Messages received from peers, by kind."),
		receivedBytes: registry.CounterMap("peer_received_bytes", metrics.UnitBytes, "Bytes of messages received from peers, by kind, before encryption."),
		lost:          registry.CounterMap("peer_lost", metrics.UnitCount, "Messages accepted for sending and then dropped, by kind."),
	}
}

func (t *traffic) countSent(kind Kind, bytes int) {
	name := t.name(kind)
	t.sent.Add(name, 1)
	t.sentBytes.Add(name, int64(bytes))
	t.kinds[kind].sent.Add(1)
	t.kinds[kind].sentBytes.Add(uint64(bytes))
}

func (t *traffic) countReceived(kind Kind, bytes int) {
	name := t.name(kind)
	t.received.Add(name, 1)
	t.receivedBytes.Add(name, int64(bytes))
	t.kinds[kind].received.Add(1)
	t.kinds[kind].receivedBytes.Add(uint64(bytes))
}

func (t *traffic) countLost(kind Kind) {
	t.lost.Add(t.name(kind), 1)
	t.kinds[kind].lost.Add(1)
}

// Traffic returns the counts of each kind with any traffic.
func (t *Transport) Traffic() map[Kind]KindTraffic {
	seen := make(map[Kind]KindTraffic)
	for kind := range t.traffic.kinds {
		c := &t.traffic.kinds[kind]
		counts := KindTraffic{
			Sent:          c.sent.Load(),
			SentBytes:     c.sentBytes.Load(),
			Received:      c.received.Load(),
			ReceivedBytes: c.receivedBytes.Load(),
			Lost:          c.lost.Load(),
		}
		if counts != (KindTraffic{}) {
			seen[Kind(kind)] = counts
		}
	}
	return seen
}

// Wire returns the packet counts of all connections since the start.
func (t *Transport) Wire() WireTraffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := t.closedTraffic
	for c := range t.conns {
		total.add(c.quic.ConnectionStats())
		total.Connections++
	}
	return total
}

// registerWireMetrics registers the packet counts as metrics.
func (t *Transport) registerWireMetrics(registry *metrics.Registry) {
	gauge := func(name string, unit metrics.Unit, help string, value func(WireTraffic) float64) {
		registry.GaugeFunc(name, unit, help, func() float64 { return value(t.Wire()) })
	}
	gauge("peer_wire_sent_bytes", metrics.UnitBytes, "Bytes of QUIC packets sent to peers since the start.",
		func(w WireTraffic) float64 { return float64(w.SentBytes) })
	gauge("peer_wire_received_bytes", metrics.UnitBytes, "Bytes of QUIC packets received from peers since the start.",
		func(w WireTraffic) float64 { return float64(w.ReceivedBytes) })
	gauge("peer_wire_sent_packets", metrics.UnitCount, "QUIC packets sent to peers since the start.",
		func(w WireTraffic) float64 { return float64(w.SentPackets) })
	gauge("peer_connections", metrics.UnitCount, "Connections with peers, either side's.",
		func(w WireTraffic) float64 { return float64(w.Connections) })
}

func (w *WireTraffic) add(s quic.ConnectionStats) {
	w.SentBytes += s.BytesSent
	w.SentPackets += s.PacketsSent
	w.ReceivedBytes += s.BytesReceived
	w.ReceivedPackets += s.PacketsReceived
}
