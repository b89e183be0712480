package itemcmd

import (
	"strconv"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/common"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/document"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/output"
	"github.com/samphirequay/samphirequay/core/live"
)

// headers lists the table columns of each kind.
var headers = map[live.Kind][]string{
	live.KindTeam:     {"NAME", "WEIGHT", "IN-FLIGHT", "LIMIT", "KEYS", "LABELS"},
	live.KindService:  {"NAME", "TYPE", "POOL", "FIRST-MS", "PACE-MS", "TEAMS", "LABELS"},
	live.KindPool:     {"NAME", "MODEL", "ENDPOINTS", "MIN-PREFILL", "MIN-DECODE", "LABELS"},
	live.KindEndpoint: {"NAME", "ADDRESS", "DOMAIN", "SLOTS", "FENCING", "LABELS"},
	live.KindLink:     {"NAME", "FROM", "TO", "MB/S"},
}

// table returns items of one kind as table rows.
func table(kind live.Kind, items []document.Item) output.Rows {
	rows := output.Rows{Header: headers[kind]}
	for _, item := range items {
		rows.Add(itemCells(item.Value)...)
	}
	return rows
}

func itemCells(value any) []string {
	switch v := value.(type) {
	case *live.Team:
		return []string{string(v.Name), formatNumber(v.Weight), strconv.Itoa(v.MaxInFlight), formatLimit(v), strconv.Itoa(len(v.KeyHashes)), common.LabelText(v.Labels)}
	case *live.Service:
		return []string{string(v.Name), string(v.Type), string(v.Pool), strconv.Itoa(v.FirstTokenTargetMS), strconv.Itoa(v.TokenPaceTargetMS), orDash(v.TeamSelector), common.LabelText(v.Labels)}
	case *live.Pool:
		return []string{string(v.Name), orDash(v.Model), v.EndpointSelector, strconv.Itoa(v.MinPrefill), strconv.Itoa(v.MinDecode), common.LabelText(v.Labels)}
	case *live.Endpoint:
		return []string{string(v.Name), v.Address, string(v.Domain), strconv.Itoa(v.Slots), strconv.FormatBool(v.ChecksFencing), common.LabelText(v.Labels)}
	case *live.Link:
		return []string{v.Name, string(v.From), string(v.To), formatNumber(v.BytesPerSecond / 1e6)}
	default:
		return nil
	}
}

// formatLimit formats a team's limit as RATE+BURST, in tokens or requests.
func formatLimit(t *live.Team) string {
	if !t.Limit().Limited() {
		return "-"
	}
	unit := "requests/s"
	if t.LimitByTokens {
		unit = "tokens/s"
	}
	return formatNumber(t.LimitPerSecond) + "+" + formatNumber(t.LimitBurst) + " " + unit
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
