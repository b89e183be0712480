package configcmd

// meanings explains each field of the live configuration.
var meanings = map[string]string{
	"team.name":             "unique name",
	"team.labels":           "labels that a service's team_selector matches",
	"team.key_hashes":       "SHA-256 hashes, in hex, of the team's bearer keys; see keys hash",
	"team.weight":           "share against other teams under contention",
	"team.max_in_flight":    "most requests in the system at once, over all daemons",
	"team.max_body_bytes":   "largest body of one request, in bytes",
	"team.retry_per_second": "most retries a second that the system makes for the team",

	"service.name":                  "unique name; what callers give as the model of a completion",
	"service.labels":                "labels of the service; samphirequay/lift-quarantine lifts quarantines",
	"service.type":                  "model or plain",
	"service.pool":                  "pool whose endpoints serve it",
	"service.team_selector":         "label selector of the teams that may use it; empty is every team",
	"service.first_token_target_ms": "target for the first output, in milliseconds",
	"service.token_pace_target_ms":  "target between outputs, in milliseconds",
	"service.patience_ms":           "longest wait for the first output, in milliseconds; default: the first-token target",
	"service.waste_weight":          "0 starts work early and accepts waste, 1 waits until waste is unlikely",
	"service.priority":              "priority of its requests, 0 to 9",
	"service.non_idempotent":        "no call may run twice; calls need the Idempotency-Key header",
	"service.timeout_ms":            "longest time of a whole call, in milliseconds",

	"pool.name":              "unique name",
	"pool.labels":            "labels of the pool",
	"pool.endpoint_selector": "label selector of its endpoints",
	"pool.model":             "model that placement keeps loaded; empty for plain pools",
	"pool.adapter":           "adapter that placement keeps loaded",
	"pool.version":           "version that placement keeps loaded",
	"pool.min_prefill":       "least warm prefill endpoints",
	"pool.min_decode":        "least warm decode endpoints",
	"pool.fixed_roles":       "placement changes no role",

	"endpoint.name":                      "unique name",
	"endpoint.labels":                    "samphirequay/role, /model, /domain and /leaving steer the system",
	"endpoint.address":                   "host:port, by IP number",
	"endpoint.domain":                    "failure domain",
	"endpoint.slots":                     "requests that a decode engine holds at once, or calls of a plain endpoint",
	"endpoint.prefill_tokens_per_second": "first estimate of the prefill rate; reports correct it",
	"endpoint.decode_token_ms":           "first estimate of the time of one output token, in milliseconds",
	"endpoint.checks_fencing":            "the endpoint refuses orders with an old fencing number",

	"link.name":             "unique name",
	"link.from":             "failure domain of the source",
	"link.to":               "failure domain of the destination",
	"link.bytes_per_second": "rate shared by all transfers, in bytes a second",
}
