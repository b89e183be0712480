package app

import (
	"github.com/samphirequay/samphirequay/daemon/completion"
	"github.com/samphirequay/samphirequay/daemon/front"
	"github.com/samphirequay/samphirequay/daemon/hangup"
	"github.com/samphirequay/samphirequay/daemon/operator"
	"github.com/samphirequay/samphirequay/daemon/plaincall"
)

// startRequests creates the request pipeline and the operators' server.
func (d *Daemon) startRequests() {
	d.watcher = hangup.New(hangup.DefaultInterval)
	recorder := recorder{d}
	pairer := trackingPairer{Broker: d.broker, cancels: d.cancels}
	completions := completion.New(completion.Deps{
		Self:     d.self,
		Domain:   d.settings.Domain,
		Pairer:   pairer,
		Engines:  d.endpoints,
		Cancels:  d.cancels,
		Retries:  d.retries,
		Recorder: recorder,
		Catalog:  catalog{d},
		Now:      d.now,
		NewID:    newRequestID,
	})
	plain := plaincall.New(plaincall.Deps{
		Self:      d.self,
		Domain:    d.settings.Domain,
		Pairer:    d.broker,
		Endpoints: d.endpoints,
		Claims:    d.claims,
		Retries:   d.retries,
		Recorder:  recorder,
		Catalog:   catalog{d},
		Now:       d.now,
		NewID:     newRequestID,
	})
	d.front = front.New(front.Deps{
		Self:         d.self,
		Directory:    d.configs.Index,
		Newest:       d.configs.Newest,
		Completions:  limitedCompletions{next: completions, quotas: d.quotas},
		PlainCalls:   limitedCalls{next: plain, quotas: d.quotas},
		Tokens:       d.tokens,
		Watcher:      d.watcher,
		Metrics:      d.metrics,
		Entry:        d.entryAnswer,
		Ready:        d.ready,
		OnRequest:    d.recordCaller,
		Log:          d.logger.Event,
		Logger:       httpLogger{d.logger},
		Now:          d.now,
		NewID:        newRequestID,
		MaxBodyBytes: d.settings.Limits.MaxBodyBytes,
		OverLimit:    isOverLimit,
		MaxConns:     d.settings.Limits.MaxConnections,
	})
	d.operator = operator.New(operations{d}, d.settings.OperatorKeyHashes, d.logger.Event)
}
