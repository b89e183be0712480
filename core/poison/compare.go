package poison

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// digest is the hash of a ledger's evidence as of one state of it.
type digest struct {
	lastChange                     uint64
	crashes, cleared, clearedParts int
	value                          uint64
}

// Digest returns a hash of the evidence. Ledgers that hold the same evidence have the
// same digest, in whichever order they learnt it.
func (l *Ledger) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := digest{
		lastChange: l.lastChange, value: l.digest.value,
		crashes: len(l.crashes), cleared: len(l.cleared), clearedParts: len(l.clearedParts),
	}
	if now != l.digest {
		now.value = l.computeDigest()
		l.digest = now
	}
	return l.digest.value
}

// computeDigest combines the hashes of the records without regard to their order.
func (l *Ledger) computeDigest() uint64 {
	sum := uint64(l.allCleared.at)
	for _, e := range l.crashes {
		sum += hashCrash(e.crash)
	}
	for f, m := range l.cleared {
		sum += hashRecord(f[:], uint64(m.at))
	}
	for p, m := range l.clearedParts {
		sum += hashRecord(p[:], uint64(m.at))
	}
	return sum
}

func hashCrash(c Crash) uint64 {
	record := []byte(c.ID.Endpoint)
	for _, s := range c.Running {
		record = append(record, s.Fingerprint[:]...)
		record = append(record, byte(s.Progress))
		record = appendDetails(record, s)
	}
	return hashRecord(record, uint64(c.ID.Incarnation), uint64(c.AtUnixMS))
}

// appendDetails appends what an older build does not know of a suspect. Nothing is
// appended for a suspect without it, so that both builds have the same digest then.
func appendDetails(record []byte, s Suspect) []byte {
	if s.SentUnixMS != 0 {
		record = binary.BigEndian.AppendUint64(record, uint64(s.SentUnixMS))
	}
	for _, p := range s.Parts {
		record = append(record, p[:]...)
	}
	return record
}

func hashRecord(text []byte, numbers ...uint64) uint64 {
	for _, n := range numbers {
		text = binary.BigEndian.AppendUint64(text, n)
	}
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
}

// partsPerSuspect is how many parts take up as much of a message as a suspect does.
const partsPerSuspect = 4

// Newest returns the newest crashes, with at most the given number of suspects in all,
// partsPerSuspect parts counted as one more, and all that is cleared. A crash is never returned without some of its suspects, since
// the others would then seem to have run alone.
func (l *Ledger) Newest(maxSuspects int) State {
	s, _ := l.Delta(0)
	slices.SortFunc(s.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.AtUnixMS, a.AtUnixMS), compareIDs(a.ID, b.ID))
	})
	suspects := 0
	for i, c := range s.Crashes {
		suspects += len(c.Running) + partsOf(c)/partsPerSuspect
		if suspects > maxSuspects {
			s.Crashes = s.Crashes[:i]
			break
		}
	}
	return s
}

// partsOf returns the number of parts recorded for a crash.
func partsOf(c Crash) int {
	n := 0
	for _, s := range c.Running {
		n += len(s.Parts)
	}
	return n
}
