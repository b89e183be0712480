package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// shuffleView, every Config.ShuffleEvery, exchanges a few entries with the daemon
// that has been in the view longest, so that daemons missing from the host list are
// discovered and stale view slots are replaced.
func (m *Membership) shuffleView(now time.Duration) {
	s := &m.partial
	if now < s.shuffleAt {
		return
	}
	s.shuffleAt = now + m.cfg.ShuffleEvery
	m.fillView()
	if len(s.view) == 0 {
		return
	}
	for i := range s.view {
		s.view[i].age++
	}
	oldest := slices.MaxFunc(s.view, func(a, b viewSlot) int { return cmp.Compare(a.age, b.age) })
	s.view = slices.DeleteFunc(s.view, func(n viewSlot) bool { return n.name == oldest.name })
	entries := m.viewSample(oldest.name)
	s.sentNames = names(entries)
	m.send(m.peers[oldest.name], Message{Kind: Shuffle, Entries: entries})
}

// fillView drops dead and forgotten daemons from the view, and fills an empty view
// with random known daemons.
func (m *Membership) fillView() {
	s := &m.partial
	s.view = slices.DeleteFunc(s.view, func(n viewSlot) bool { return !m.present(n.name) })
	if len(s.view) > 0 {
		return
	}
	candidates := slices.Clone(m.order)
	m.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, name := range candidates {
		if len(s.view) < m.cfg.ViewSize && m.present(name) {
			s.view = append(s.view, viewSlot{name: name})
		}
	}
}

func (m *Membership) present(name id.Daemon) bool {
	p, ok := m.peers[name]
	return ok && p.entry.State != Dead
}

// viewSample selects random entries of the view, except that of one daemon.
func (m *Membership) viewSample(without id.Daemon) []Entry {
	var out []Entry
	for _, i := range m.rng.Perm(len(m.partial.view)) {
		name := m.partial.view[i].name
		p, ok := m.peers[name]
		if ok && name != without && p.seen && len(out) < m.cfg.ShuffleSize {
			out = append(out, p.entry)
		}
	}
	return out
}

func (m *Membership) onShuffle(now time.Duration, p *peer, msg Message) {
	m.fillView()
	reply := m.viewSample(p.entry.Process.Daemon)
	m.send(p, Message{Kind: ShuffleReply, Seq: msg.Seq, Entries: reply})
	// The requester itself is added to the view, along with the daemons it sent.
	m.mergeView(append([]id.Daemon{p.entry.Process.Daemon}, names(msg.Entries)...), names(reply))
}

func (m *Membership) onShuffleReply(msg Message) {
	m.mergeView(names(msg.Entries), m.partial.sentNames)
	m.partial.sentNames = nil
}

// mergeView adds names to the view: to free slots first, then in place of the
// names that were sent to the other daemon.
func (m *Membership) mergeView(got, sent []id.Daemon) {
	s := &m.partial
	for _, name := range got {
		inView := slices.ContainsFunc(s.view, func(n viewSlot) bool { return n.name == name })
		if inView || name == m.self.Process.Daemon || !m.present(name) {
			continue
		}
		if len(s.view) >= m.cfg.ViewSize {
			at := slices.IndexFunc(s.view, func(n viewSlot) bool { return slices.Contains(sent, n.name) })
			if at < 0 {
				return
			}
			s.view = slices.Delete(s.view, at, at+1)
		}
		s.view = append(s.view, viewSlot{name: name})
	}
}

func names(entries []Entry) []id.Daemon {
	out := make([]id.Daemon, len(entries))
	for i, e := range entries {
		out[i] = e.Process.Daemon
	}
	return out
}
