package sched

import "github.com/samphirequay/samphirequay/core/live"

// pipeline is the fixed sequence of plugins that make a decision.
type pipeline struct {
	// static filters depend on the endpoint only; they decide which endpoints are
	// indexed.
	static map[live.Role][]endpointFilter
	// perRequest filters are applied for each request.
	perRequest []endpointFilter
	pairs      []pairFilter
	scorers    []scorer
	picker     picker
}

// newPipeline returns the pipeline of the ledger.
func newPipeline() pipeline {
	return pipeline{
		static: map[live.Role][]endpointFilter{
			live.RolePrefill: staticFilters(live.RolePrefill),
			live.RoleDecode:  staticFilters(live.RoleDecode),
			live.RolePlain:   staticFilters(live.RolePlain),
		},
		perRequest: []endpointFilter{
			healthFilter{},
			avoidFilter{},
			suspectFilter{},
			settleFilter{},
		},
		pairs:   []pairFilter{slotFilter{}, linkFilter{}, deadlineFilter{}},
		scorers: []scorer{finishScorer{}, affinityScorer{}, domainScorer{}, roomScorer{}},
		picker:  bestPicker{},
	}
}

// staticFilters returns the filters that every endpoint of a role must pass.
func staticFilters(role live.Role) []endpointFilter {
	return []endpointFilter{roleFilter{role: role}, modelFilter{}, leavingFilter{}}
}
