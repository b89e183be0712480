package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// The bounds and the team's limit are those of the users' pages (shifted, demands; wire).
const (
	quotaRate    = 221245.0
	quotaBurst   = 221245.0
	quotaWindow  = 8 * time.Second
	quotaOver    = 0.1
	quotaSlack   = 140000.0
	tokensOfCall = 5000
	// quotaHosts are rolled one after another, rollGap apart.
	quotaHosts = 3
	rollGap    = time.Second
	// quotaLasts is how long the team sends far more than its limit.
	quotaLasts = 14 * time.Second
)

// quotaRun is one run of a call at a runner.
type quotaRun struct {
	id       string
	sent, at time.Time
}

// quotaBook holds what was sent, answered and run.
type quotaBook struct {
	mu     sync.Mutex
	sent   map[string]time.Time
	status map[int]map[int]int // by second, then status
	runs   []quotaRun
}

func (q *quotaBook) send(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sent[id] = time.Now()
}

func (q *quotaBook) answered(second, status int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.status[second] == nil {
		q.status[second] = map[int]int{}
	}
	q.status[second][status]++
}

func (q *quotaBook) ran(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.runs = append(q.runs, quotaRun{id: id, sent: q.sent[id], at: time.Now()})
}

// worst returns the most runs that were both sent and run in one window, and its start.
func (q *quotaBook) worst() (runs int, from time.Time) {
	for _, first := range q.runs {
		n := 0
		for _, r := range q.runs {
			if !r.sent.Before(first.sent) && r.at.Before(first.sent.Add(quotaWindow)) {
				n++
			}
		}
		if n > runs {
			runs, from = n, first.sent
		}
	}
	return runs, from
}

func (b *bench) configureTeam() {
	call := map[string]any{"timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2, "maxAttempts": 1}
	team := map[string]any{"name": "hule930", "apiKeys": []string{teamKey}, "unit": "tokens", "plainTokens": 200, "ratePerS": quotaRate, "burst": quotaBurst}
	config := platformtest.Config(3, []any{platformtest.Route(host, "r-stem", "/stem/", "non_idempotent", "orderdesk", call)},
		[]any{platformtest.PlainService("orderdesk", 110)}, []any{team})
	config["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	b.store.Configure(config)
	b.note("configuration 3 written: a team with %.0f tokens a second and a burst of %.0f", quotaRate, quotaBurst)
}

// quotaRoll stops and starts the hosts in turn while a team sends more than its limit.
func quotaRoll(b *bench) {
	b.teams = true
	b.configureTeam()
	daemons := b.startDaemons(quotaHosts)
	book := &quotaBook{sent: map[string]time.Time{}, status: map[int]map[int]int{}}
	for i := range 4 {
		r, err := platformtest.StartRunner(fmt.Sprintf("i-desk-%d", i), "orderdesk", "")
		if err != nil {
			b.fail("%v", err)
		}
		defer r.Close()
		r.Slots = 6
		r.Answer(func(x *platformtest.Exchange) {
			if x.ShouldRun() {
				book.ran(x.RequestID())
			}
			x.AnswerNormally()
		})
		b.store.Register(r, platformtest.StateReady, r.Address())
	}
	time.Sleep(6 * time.Second) // the daemons know all runners, and one another

	began := time.Now()
	var wg sync.WaitGroup
	for w := range 18 {
		look := &lookup{b: b, daemons: daemons, rng: rand.New(rand.NewPCG(uint64(w), 7))}
		wg.Go(func() {
			for n := 0; time.Since(began) < quotaLasts; n++ {
				id := fmt.Sprintf("q%02x%04x", w, n)
				address := look.pick()
				book.send(id)
				answer := b.callTeam(address, id)
				if answer.Status == 0 {
					look.failed(address)
				}
				book.answered(int(time.Since(began).Seconds()), answer.Status)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if b.trouble {
		b.roll(daemons)
	}
	wg.Wait()
	b.judgeQuota(book, began)
	for _, d := range daemons {
		for _, line := range b.runnerLines(d.name) {
			if strings.Contains(line, "quota_keeper_changed") || strings.Contains(line, "daemon_leaving") {
				b.note("log of %s: %s", d.name, line)
			}
		}
	}
}

// roll sends a SIGTERM to one daemon after another, and starts each again when it has ended.
func (b *bench) roll(daemons []*daemon) {
	for _, d := range daemons {
		b.note("SIGTERM to %s", d.name)
		d.signal(syscall.SIGTERM)
		go func() {
			<-d.done
			b.note("%s has ended", d.name)
			time.Sleep(300 * time.Millisecond)
			d.endFirstStart()
			b.spawn(d.name+"-again", "target/samphirequayd", "platform", "--settings", d.settings)
			b.note("%s is started again", d.name)
		}()
		time.Sleep(rollGap)
	}
}

func (b *bench) judgeQuota(book *quotaBook, began time.Time) {
	slices.SortFunc(book.runs, func(x, y quotaRun) int { return x.at.Compare(y.at) })
	perSecond := map[int]int{}
	for _, r := range book.runs {
		b.note("run %s sent at %.3f, run at %.3f", r.id, r.sent.Sub(b.started).Seconds(), r.at.Sub(b.started).Seconds())
		perSecond[int(r.at.Sub(began).Seconds())]++
	}
	for second := range int(quotaLasts/time.Second) + 1 {
		b.note("second %d: %d tokens run; answers by status: %v", second, perSecond[second]*tokensOfCall, book.status[second])
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	runs, from := book.worst()
	b.note("worst window of %v from %.3f: %d calls, %d tokens; allowed %.0f", quotaWindow, from.Sub(b.started).Seconds(), runs, runs*tokensOfCall, allowed)
	if float64(runs*tokensOfCall) > allowed {
		b.breaks("QUOTA: %d tokens of a team were sent and run in %v, %.0f are allowed", runs*tokensOfCall, quotaWindow, allowed)
	}
	if len(book.runs) == 0 || len(book.status[1]) == 0 || book.status[1][http.StatusTooManyRequests] == 0 {
		b.fail("the team was not limited before the disruption")
	}
}
