package docscmd

import (
	"math"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"

	"github.com/samphirequay/samphirequay/core/live"
)

// livePage describes every field of the live configuration.
func livePage(source string) (string, error) {
	docs, err := sourceDocs(filepath.Join(source, "core", "live"))
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString("# Live configuration\n\n" + docs["Document"].text + "\n\n" +
		"A file of JSON with comments. `samphirequay config check FILE` checks it, `samphirequay config apply FILE` applies it. " +
		"Labels control the system: see [the operators' handbook](../OPERATORS.md).\n")
	filled := normalizedItems()
	bounds := liveBounds()
	for _, list := range reflect.VisibleFields(reflect.TypeFor[live.Document]()) {
		items := reflect.ValueOf(*filled).FieldByIndex(list.Index)
		if items.Kind() != reflect.Slice {
			continue
		}
		name := list.Tag.Get("json")
		b.WriteString("\n## " + name + "\n\n" + docs[items.Type().Elem().Name()].text + "\n\n")
		table := &fieldTable{docs: docs, bounds: func(path string, _ fieldDoc) string { return bounds[name+"[0]."+path] }}
		table.walk(items.Index(0), "")
		table.print(&b)
	}
	return b.String(), nil
}

// singleItemDocument returns a document with one empty item of each kind.
func singleItemDocument() *live.Document {
	return &live.Document{
		Teams:     []live.Team{{}},
		Services:  []live.Service{{}},
		Pools:     []live.Pool{{}},
		Endpoints: []live.Endpoint{{}},
		Links:     []live.Link{{}},
	}
}

// normalizedItems returns a document with the defaults of each kind. The pool
// has a model while it is normalized, since only pools with a model get
// defaults for engines.
func normalizedItems() *live.Document {
	doc := singleItemDocument()
	doc.Pools[0].Model = "model"
	filled := live.Normalize(doc)
	filled.Pools[0].Model = ""
	return filled
}

// liveBounds returns the range of each number by its path. It reads them from
// the faults that live.Check reports for numbers outside of every range.
func liveBounds() map[string]string {
	doc := singleItemDocument()
	for _, item := range []any{&doc.Teams[0], &doc.Services[0], &doc.Pools[0], &doc.Endpoints[0], &doc.Links[0]} {
		setOutOfRange(reflect.ValueOf(item).Elem())
	}
	bounds := make(map[string]string)
	for _, f := range live.Check(doc) {
		if _, text, ok := strings.Cut(f.Message, " is not between "); ok {
			low, high, _ := strings.Cut(text, " and ")
			bounds[f.Path] = "from " + formatDecimal(low) + " to " + formatDecimal(high)
		}
	}
	return bounds
}

// formatDecimal formats a number without an exponent.
func formatDecimal(text string) string {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return text
	}
	return strconv.FormatFloat(n, 'f', -1, 64)
}

// setOutOfRange sets every number of a struct to a value outside of every range.
func setOutOfRange(v reflect.Value) {
	for i := range v.NumField() {
		switch f := v.Field(i); f.Kind() {
		case reflect.Int:
			f.SetInt(math.MinInt32)
		case reflect.Float64:
			f.SetFloat(-math.MaxFloat64)
		}
	}
}
