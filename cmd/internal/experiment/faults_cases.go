package experiment

import (
	"sync/atomic"

	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

// The stages of a request during which engines are crashed.
const (
	stagePrefill = "prefill"
	stageDecode  = "decode"
)

// hangUps selects the callers that hang up.
type hangUps struct{ on atomic.Bool }

// selected reports whether the caller of an arrival hangs up: about half of the
// callers of completions do while the fault is active.
func (h *hangUps) selected(a load.Arrival) bool {
	return h.on.Load() && !a.Plain && a.TextSeed%2 == 0
}

// faultCase is one injected fault of the experiment.
type faultCase struct {
	name      string
	injection injection
	// lasting is true if the fault has its effect until its end. The recovery
	// time is then measured from the end, otherwise from the start.
	lasting bool
}

// faultCases returns the faults: single, in pairs, and repeated. Each call creates
// new ones, since an injected fault stores its targets.
func faultCases() []faultCase {
	return append(singleFaults(), pairedFaults()...)
}

func singleFaults() []faultCase {
	engines := firstOf(1, standin.RolePrefill, standin.RoleDecode)
	return []faultCase{
		{"daemon-killed", killDaemon(), false},
		{"owner-killed", killOwner(), false},
		{"engine-crash-prefill", crashEngine(stagePrefill), false},
		{"engine-crash-decode", crashEngine(stageDecode), false},
		{"engine-slow", standInFault(engines, wire.Fault{Slow: value(slowFactor)}, wire.Fault{Slow: value(1.0)}), true},
		{"transfer-stall", transferStall(), true},
		{"table-down", tableDown(), true},
		{"table-slow", tableFault(wire.Fault{DelayMS: value(slowTableMS)}, wire.Fault{DelayMS: value(0)}), true},
		{"table-replies-lost", tableFault(wire.Fault{LoseReplies: value(faultyShare)}, wire.Fault{LoseReplies: value(0.0)}), true},
		{"table-stale-reads", tableFault(wire.Fault{StaleReads: value(faultyShare)}, wire.Fault{StaleReads: value(0.0)}), true},
		{"hosts-stale", staleHosts(), false},
		{"one-way-loss", oneWayLoss(), true},
		{"callers-hang-up", callersHangUp(), true},
	}
}

func pairedFaults() []faultCase {
	return []faultCase{
		{"daemon-killed+table-down", combine(killDaemon(), tableDown()), false},
		{"engine-crash-decode+owner-killed", combine(crashEngine(stageDecode), killOwner()), false},
		{"transfer-stall+daemon-killed", combine(transferStall(), killDaemon()), true},
		{"owner-killed-twice", inSequence(killOwner(), killOwner()), false},
		{"engine-crash-decode-twice", inSequence(crashEngine(stageDecode), crashEngine(stageDecode)), false},
	}
}

func transferStall() injection {
	return standInFault(firstOf(stalledEngines, standin.RoleDecode),
		wire.Fault{StallTransfers: value(true)}, wire.Fault{StallTransfers: value(false)})
}

func tableDown() injection {
	return tableFault(wire.Fault{Down: value(true)}, wire.Fault{Down: value(false)})
}

func tableFault(on, off wire.Fault) injection {
	return standInFault(targetNames(standin.TargetTable), on, off)
}
