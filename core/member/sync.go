package member

import "time"

// syncBatch bounds the entries of one SyncReply, so that it fits a datagram
// or a small frame.
const syncBatch = 16

// syncNext, while most of the listed daemons were never heard of, asks one
// for all that it knows: at the daemon's own start, and while a whole fleet
// starts.
func (m *Membership) syncNext(now time.Duration) {
	if now < m.partial.sync {
		return
	}
	m.partial.sync = now + m.cfg.ShuffleEvery
	var unmet, reachable []*peer
	for _, name := range m.order {
		p := m.peers[name]
		if !p.met {
			unmet = append(unmet, p)
		}
		if p.entry.Address != "" && p.entry.State != Dead {
			reachable = append(reachable, p)
		}
	}
	if 2*len(unmet) <= len(m.order) || len(reachable) == 0 {
		return
	}
	m.send(reachable[m.rng.IntN(len(reachable))], Message{Kind: Sync})
}

func (m *Membership) onSync(asker *peer) {
	var batch []Entry
	for _, name := range m.order {
		p := m.peers[name]
		if !p.met || p == asker {
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
