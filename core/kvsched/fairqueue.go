package kvsched

import (
	"github.com/samphirequay/samphirequay/core/fairshare"
	"github.com/samphirequay/samphirequay/core/id"
)

// Rank implements fairshare.Request. A prefilled request counts as begun.
func (w *waiting) Rank() fairshare.Rank {
	return fairshare.Rank{
		Begun:    w.want.Prefilled,
		Late:     w.tooLate,
		Priority: w.want.Priority,
		Overdue:  w.overdue,
		Target:   w.rankTarget,
		Arrived:  w.place,
		StartTag: w.startTag,
	}
}

// Team implements fairshare.Request.
func (w *waiting) Team() id.Team { return w.want.Team }

// Cost implements fairshare.Request: the memory that the request holds at its end, in
// tokens.
func (w *waiting) Cost() float64 { return float64(w.tokens) }

// SetStartTag implements fairshare.Request.
func (w *waiting) SetStartTag(tag float64) { w.startTag = tag }
