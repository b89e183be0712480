package poison

import (
	"cmp"
	"slices"
)

// begun reports whether an endpoint may have crashed as it began to run a request.
func (s Suspect) begun() bool { return s.Progress < Answering }

// isUnknown reports whether a suspect was told of by an older build, which knows no parts.
func (s Suspect) isUnknown() bool { return len(s.Parts) == 0 && s.SentUnixMS == 0 }

// equalSuspects reports whether two suspects are the same in all that is recorded.
func equalSuspects(a, b Suspect) bool {
	return a.Fingerprint == b.Fingerprint && a.Team == b.Team && a.Progress == b.Progress &&
		a.SentUnixMS == b.SentUnixMS && slices.Equal(a.Parts, b.Parts)
}

// union returns the first MaxRunning of both, with the first MaxPartsPerCrash of their
// parts, so that the result does not depend on the order of merging.
func (l *Ledger) union(a, b []Suspect) []Suspect {
	all := append(slices.Clone(a), b...)
	slices.SortStableFunc(all, compareSuspects)
	var out []Suspect
	for _, s := range all {
		if n := len(out); n > 0 && out[n-1].Fingerprint == s.Fingerprint {
			out[n-1] = combine(out[n-1], s)
			continue
		}
		s.Parts = recordedParts(s.Parts)
		out = append(out, s)
	}
	out = out[:min(len(out), l.cfg.MaxRunning)]
	boundParts(out)
	return out
}

// combine joins two reports about one request, of which the first has progressed least.
// A report of an older build has no parts.
func combine(least, other Suspect) Suspect {
	least.Parts = recordedParts(least.Parts, other.Parts)
	least.SentUnixMS = max(least.SentUnixMS, other.SentUnixMS)
	return least
}

// boundParts keeps the first MaxPartsPerCrash parts of a crash.
func boundParts(running []Suspect) {
	room := MaxPartsPerCrash
	for i := range running {
		n := min(len(running[i].Parts), room)
		running[i].Parts = slices.Clip(running[i].Parts[:n:n])
		if n == 0 {
			running[i].Parts = nil
		}
		room -= n
	}
}

// withoutKnown returns own suspects as they are reported: without the parts of requests
// that were being answered, which are no cause, and without those that this daemon has
// just seen succeed. Where more than MaxPartsPerSuspect are left, those that crashes count
// against come first: a request can't hide a part among many others.
func (l *Ledger) withoutKnown(at int64, running []Suspect) []Suspect {
	out := slices.Clone(running)
	for i, s := range out {
		if !s.begun() {
			out[i].Parts = nil
			continue
		}
		out[i].Parts = l.unknownParts(at, s.Parts)
	}
	return out
}

func (l *Ledger) unknownParts(at int64, parts []Part) []Part {
	unknown := slices.DeleteFunc(sortedParts(lookedAt(parts)), func(p Part) bool {
		return l.succeededParts.shortlyBefore(p, at)
	})
	slices.SortStableFunc(unknown, func(a, b Part) int { return cmp.Compare(len(l.byPart[b]), len(l.byPart[a])) })
	return unknown[:min(len(unknown), MaxPartsPerSuspect)]
}
