package member

import "time"

// syncBatch bounds the entries of one SyncReply, so that it fits a datagram
// or a small frame.
const syncBatch = 16

// requestSync sends a Sync to one random daemon while listed daemons are neither
// seen nor dead, as at the start of this daemon or of the whole fleet.
func (m *Membership) requestSync(now time.Duration) {
	if now < m.partial.syncAt {
		return
	}
	m.partial.syncAt = now + m.cfg.ShuffleEvery
	unseen := 0
	var reachable []*peer
	for _, name := range m.order {
		p := m.peers[name]
		if p.entry.Address == "" || p.entry.State == Dead {
			continue
		}
		reachable = append(reachable, p)
		if !p.seen {
			unseen++
		}
	}
	if unseen == 0 {
		return
	}
	m.send(reachable[m.rng.IntN(len(reachable))], Message{Kind: Sync})
}

func (m *Membership) onSync(requester *peer) {
	var batch []Entry
	for _, name := range m.order {
		p := m.peers[name]
		if !p.seen || p == requester {
			continue
		}
		batch = append(batch, p.entry)
		if len(batch) == syncBatch {
			m.send(requester, Message{Kind: SyncReply, Entries: batch})
			batch = nil
		}
	}
	if len(batch) > 0 {
		m.send(requester, Message{Kind: SyncReply, Entries: batch})
	}
}
