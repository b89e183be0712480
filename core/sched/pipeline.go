package sched

import "github.com/samphirequay/samphirequay/core/live"

// row is the fixed row of plugins that a decision goes through.
type pipeline struct {
	// standing filters depend on the endpoint alone; they decide what is indexed.
	static map[live.Role][]endpointFilter
	// perRequest filters are asked for each request.
	perRequest []endpointFilter
	pairs      []pairFilter
	scorers    []scorer
	picker     picker
}

// newRow returns the row of the ledger.
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

// standingFilters are the filters that every endpoint of a role must pass.
func staticFilters(role live.Role) []endpointFilter {
	return []endpointFilter{roleFilter{role: role}, modelFilter{}, leavingFilter{}}
}
