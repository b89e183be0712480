package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Word lists for TextBunker.
var (
	vessels   = []string{"MT Karagiye", "MV Aral Breeze", "MT Beket Ata", "MV Tupkaragan", "MT Shagala", "MV Kenderli", "MT Zhanibek", "MV Caspian Tern", "MT Ustyurt", "MV Sor Kaydak"}
	berths    = []string{"Aktau berth 4", "Aktau berth 9", "Kuryk ferry quay 2", "Bautino supply base", "Kuryk roads", "Aktau anchorage B", "Bautino anchorage"}
	grades    = []string{"VLSFO 0.50%", "LSMGO 0.10%", "HSFO 380", "MGO DMA", "ULSFO 0.10%", "bio-blend B24"}
	suppliers = []string{"Mangystau Bunkering", "Kuryk Marine Fuels", "Bautino Oil Supply", "Caspian Stem Co", "Aktau Port Fuels"}
	agents    = []string{"Inchcape desk", "Tolkyn Agency", "Semurg Shipping", "Altyn Agents", "Nur Chartering"}
	barges    = []string{"barge Tulpar", "barge Aktau-7", "barge Saura", "barge Tengiz-2", "barge Shetpe"}
	remarks   = []string{"Sample seals witnessed by the chief engineer.", "Ullage report signed without protest.", "Letter of protest on slow pumping attached.", "Hose connection delayed by swell.", "Notice of readiness accepted on arrival.", "Retained samples handed to the surveyor.", "Agent asks for a split delivery.", "Mass flow meter reading agreed by both sides."}
)

// writeBunkerEntry appends one entry: a nomination, a delivery note, a quality
// certificate or a remark.
func writeBunkerEntry(b *strings.Builder, rng *rand.Rand) {
	switch rng.IntN(4) {
	case 0:
		fmt.Fprintf(b, "Nomination %05d: %s at %s, %d mt %s, ETA day %d %02d:%02d, agent %s. ",
			rng.IntN(100000), pick(rng, vessels), pick(rng, berths), 40+rng.IntN(900), pick(rng, grades),
			1+rng.IntN(28), rng.IntN(24), rng.IntN(60), pick(rng, agents))
	case 1:
		fmt.Fprintf(b, "Delivery note %06d: %s alongside %s, pumped %d.%03d mt from %02d:%02d to %02d:%02d, supplier %s. ",
			rng.IntN(1000000), pick(rng, barges), pick(rng, vessels), 30+rng.IntN(900), rng.IntN(1000),
			rng.IntN(24), rng.IntN(60), rng.IntN(24), rng.IntN(60), pick(rng, suppliers))
	case 2:
		fmt.Fprintf(b, "Certificate of quality %05d: %s, density %d.%d kg/m3 at 15 C, viscosity %d.%d cSt, sulphur 0.%02d %%, flash point %d C, water 0.%02d %%. ",
			rng.IntN(100000), pick(rng, grades), 830+rng.IntN(160), rng.IntN(10), 2+rng.IntN(380), rng.IntN(10),
			rng.IntN(50), 60+rng.IntN(50), rng.IntN(50))
	default:
		fmt.Fprintf(b, "%s %s to %s. ", pick(rng, remarks), pick(rng, suppliers), pick(rng, agents))
	}
}

// Word lists for TextTraveller.
var (
	towns     = []string{"Quetzaltenango", "Totonicapan", "Panajachel", "San Pedro La Laguna", "Huehuetenango", "Zunil", "Momostenango", "Santiago Atitlan", "Nebaj", "Todos Santos"}
	treks     = []string{"Santa Maria at dawn", "Tajumulco overnight", "Chicabal crater lake", "Siete Orejas ridge", "Indian Nose", "Cerro Quemado", "the Nebaj to Todos Santos walk"}
	names     = []string{"Ixchel", "Mateo", "Lucia", "Tomas", "Ana", "Diego", "Marta", "Elena", "Pablo", "Rosa"}
	languages = []string{"K'iche'", "Mam", "Spanish", "English", "Kaqchikel", "Tz'utujil"}
	wishes    = []string{"prefers the front seat", "travels with a folding bike", "asks for a woman driver", "carries a child seat", "needs to be back before dark", "walks at a slow pace", "does not share a tent", "pays in cash only"}
	reviews   = []string{"Punctual and kind, shared water on the climb.", "Waited at the wrong corner of the terminal.", "Knew the path in the fog and kept the group together.", "Cancelled the evening before with a fair reason.", "Good company, quiet after midnight.", "Left the group on the way down without a word.", "Helped with a twisted ankle as far as the road."}
)

// writeTravellerEntry appends one entry of a traveller's history.
func writeTravellerEntry(b *strings.Builder, rng *rand.Rand) {
	switch rng.IntN(4) {
	case 0:
		fmt.Fprintf(b, "Trip %05d: shared bus from %s to %s, day %d at %02d:%02d, %d seats, driver %s. ",
			rng.IntN(100000), pick(rng, towns), pick(rng, towns), 1+rng.IntN(28), 4+rng.IntN(15), rng.IntN(60),
			1+rng.IntN(4), pick(rng, names))
	case 1:
		fmt.Fprintf(b, "Trek %04d: %s with %s and %s, %d hours, group of %d, speaks %s. ",
			rng.IntN(10000), pick(rng, treks), pick(rng, names), pick(rng, names), 4+rng.IntN(12), 2+rng.IntN(9),
			pick(rng, languages))
	case 2:
		fmt.Fprintf(b, "Review by %s after %s: %s Rating %d of 5. ",
			pick(rng, names), pick(rng, treks), pick(rng, reviews), 1+rng.IntN(5))
	default:
		fmt.Fprintf(b, "Request %05d: %s %s between %s and %s. ",
			rng.IntN(100000), pick(rng, names), pick(rng, wishes), pick(rng, towns), pick(rng, towns))
	}
}
