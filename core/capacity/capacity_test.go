package capacity

import (
	"testing"

	"github.com/matryer/is"
)

func identity(c Capacity) Capacity { return c }

func TestSharedDutiesGoToLargestHosts(t *testing.T) {
	is := is.New(t)
	small := Capacity{Cores: 0.192, LinkMbps: 10}
	large := Capacity{Cores: 0.8, LinkMbps: 200}
	slightlyLess := Capacity{Cores: 0.75, LinkMbps: 190}
	is.Equal(SelectAble([]Capacity{small, large, small, slightlyLess}, identity), []Capacity{large, slightlyLess})
	is.Equal(SelectAble([]Capacity{small, small}, identity), []Capacity{small, small}) // without large hosts the small ones are able
}

func TestHighBandwidthDoesNotOffsetFewCores(t *testing.T) {
	is := is.New(t)
	slow := Capacity{Cores: 0.1, LinkMbps: 1000}
	narrow := Capacity{Cores: 0.8, LinkMbps: 10}
	wide := Capacity{Cores: 0.8, LinkMbps: 200}
	is.Equal(SelectAble([]Capacity{slow, narrow, wide}, identity), []Capacity{wide})
	is.Equal(SelectAble([]Capacity{slow, narrow}, identity), []Capacity{narrow})
}

func TestAllAreAbleWithoutKnownCapacity(t *testing.T) {
	is := is.New(t)
	is.Equal(len(SelectAble([]Capacity{{}, {}}, identity)), 2)
	is.Equal(len(SelectAble([]Capacity{{}, {Cores: 0.2}}, identity)), 1) // a known capacity is preferred to an unknown one
	is.Equal(len(SelectAble(nil, identity)), 0)
}
