package main

import (
	"bufio"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// lookup asks the daemons which addresses to use, as a client does.
type lookup struct {
	b       *bench
	daemons []*daemon
	rng     *rand.Rand

	addresses []string
	until     time.Time
}

// pick returns the address for a new connection.
func (l *lookup) pick() string {
	if time.Now().After(l.until) {
		for _, i := range l.rng.Perm(len(l.daemons))[:3] {
			if l.ask(l.daemons[i]) {
				break
			}
		}
	}
	if len(l.addresses) == 0 {
		return l.daemons[l.rng.IntN(len(l.daemons))].callers
	}
	return l.addresses[l.rng.IntN(len(l.addresses))]
}

// failed drops an address that has failed the client.
func (l *lookup) failed(address string) {
	l.addresses = slices.DeleteFunc(slices.Clone(l.addresses), func(a string) bool { return a == address })
}

// ask asks one daemon; an answer without addresses counts as a failure.
func (l *lookup) ask(d *daemon) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.entry+"/samphirequay/resolve?name="+host+"&region=mangystau&zone=kuryk", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttlS"`
	}
	if json.NewDecoder(resp.Body).Decode(&body) != nil || len(body.Addresses) == 0 {
		return false
	}
	l.addresses = body.Addresses
	l.until = time.Now().Add(time.Duration(min(body.TTL, 5) * float64(time.Second)))
	return true
}

// teamKey is the key of the team.
const teamKey = "asnmgkcuyj8pjbvk9m68"

// callTeam sends a call of tokensOfCall tokens with the team's key.
func (b *bench) callTeam(address, id string) platformtest.Answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return platformtest.Answer{}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(1200 * time.Millisecond))
	request := platformtest.Request{Method: "POST", Target: "/stem/2f", Host: host, ID: id, Body: "{}", Patience: time.Second,
		Fields: []string{platformtest.KeyField(teamKey), "Token-Count: 4900,100"}}
	if _, err := c.Write([]byte(request.Text())); err != nil {
		return platformtest.Answer{}
	}
	answer, _ := platformtest.ReadAnswer(bufio.NewReader(c))
	return answer
}
