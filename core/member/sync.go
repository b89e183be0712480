package member

import "time"

// syncBatch bounds the entries of one SyncReply, so that it fits a datagram
// or a small frame.
const syncBatch = 16

// syncNext, while listed daemons were neither heard of nor found dead, asks one
// for all that it knows: at the daemon's own start, and while a whole fleet
// starts.
func (m *Membership) requestSync(now time.Duration) {
	if now < m.partial.syncAt {
		return
	}
	m.partial.syncAt = now + m.cfg.ShuffleEvery
	unmet := 0
	var reachable []*peer
	for _, name := range m.order {
		p := m.peers[name]
		if p.entry.Address == "" || p.entry.State == Dead {
			continue
		}
		reachable = append(reachable, p)
		if !p.seen {
			unmet++
		}
	}
	if unmet == 0 {
		return
	}
	m.send(reachable[m.rng.IntN(len(reachable))], Message{Kind: Sync})
}

func (m *Membership) onSync(asker *peer) {
	var batch []Entry
	for _, name := range m.order {
		p := m.peers[name]
		if !p.seen || p == asker {
			continue
		}
		batch = append(batch, p.entry)
		if len(batch) == syncBatch {
			m.send(asker, Message{Kind: SyncReply, Entries: batch})
			batch = nil
		}
	}
	if len(batch) > 0 {
		m.send(asker, Message{Kind: SyncReply, Entries: batch})
	}
}
