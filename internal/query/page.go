package query

import (
	"html/template"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/greengagelane/greengagelane/internal/oas/oper"
)

// Sizes of the timeline picture, in pixels unless another unit is given.
const (
	pictureWidth = 1100
	labelWidth   = 120
	laneHeight   = 44
	axisHeight   = 30
	axisTicks    = 6 // number of time labels on the axis
)

// colours maps each kind of event to its colour.
var colours = map[string]string{
	"request": "#b03a2e", "attempt": "#e08e0b", "claim": "#8e44ad", "record": "#1f618d",
	"view": "#117864", "fresh": "#d81b60", "platform": "#7d6608", "process": "#34495e",
}

// pageLane is the band of the picture that shows one entry's events.
type pageLane struct {
	Name string
	Y    int // centre, in pixels
	Dots []pageDot
}

// pageDot is one event in the picture, or one kind of event in the legend, which needs
// only Colour and Title.
type pageDot struct {
	X, Y   float64
	Colour string
	Title  string
}

// pageTick is a time label on the axis.
type pageTick struct {
	X    float64
	Text string
}

// pageRow is a row of the table.
type pageRow struct {
	Time, Entry, Kind, Subject, Text, Colour string
	Offset                                   int64
	Count                                    int // number of consecutive events that the row combines
}

// pageData is the data of pageTemplate.
type pageData struct {
	Width, Height, LabelWidth int
	Lanes                     []pageLane
	Ticks                     []pageTick
	Kinds                     []pageDot // legend
	Rows                      []pageRow
}

// writePage writes a self-contained HTML page: a lane for each entry over time, and the
// events as a table.
func writePage(w io.Writer, events []oper.Event) error {
	return pageTemplate.Execute(w, newPageData(events))
}

// newPageData places the events in the picture and combines them into the rows of the table.
func newPageData(events []oper.Event) pageData {
	firstMS, lastMS := int64(0), int64(1) // the axis if there are no events
	lanes := map[string]*pageLane{}
	for i, e := range events {
		if i == 0 || e.TimeMs < firstMS {
			firstMS = e.TimeMs
		}
		lastMS = max(lastMS, e.TimeMs)
		lanes[e.Entry] = &pageLane{Name: e.Entry}
	}
	span := float64(max(lastMS-firstMS, 1))
	x := func(ms int64) float64 { // 20 pixels remain free on the right
		return labelWidth + float64(ms-firstMS)/span*(pictureWidth-labelWidth-20)
	}
	d := pageData{Width: pictureWidth, LabelWidth: labelWidth, Height: axisHeight + laneHeight*len(lanes) + 10} // 10 pixels remain free at the bottom
	for i, name := range slices.Sorted(maps.Keys(lanes)) {
		lanes[name].Y = axisHeight + laneHeight*i + laneHeight/2
	}
	for _, e := range events {
		lane := lanes[e.Entry]
		at := time.UnixMilli(e.TimeMs).UTC().Format("15:04:05.000")
		lane.Dots = append(lane.Dots, pageDot{
			X: x(e.TimeMs), Y: float64(lane.Y) + kindYOffset(e.Kind), Colour: colours[e.Kind],
			Title: at + " " + e.Kind + " " + e.Subject + " " + e.Text,
		})
		d.addRow(pageRow{Time: at, Entry: e.Entry, Kind: e.Kind, Subject: e.Subject, Text: e.Text, Colour: colours[e.Kind], Offset: e.Offset})
	}
	for _, name := range slices.Sorted(maps.Keys(lanes)) {
		d.Lanes = append(d.Lanes, *lanes[name])
	}
	for i := range axisTicks {
		ms := firstMS + int64(span*float64(i)/(axisTicks-1))
		d.Ticks = append(d.Ticks, pageTick{X: x(ms), Text: time.UnixMilli(ms).UTC().Format("15:04:05.0")})
	}
	for _, kind := range slices.Sorted(maps.Keys(colours)) {
		d.Kinds = append(d.Kinds, pageDot{Colour: colours[kind], Title: kind})
	}
	return d
}

// addRow appends a row, or adds to the count of the last one if that has the same
// offset, kind and text.
func (d *pageData) addRow(r pageRow) {
	if n := len(d.Rows); n > 0 {
		last := &d.Rows[n-1]
		if last.Offset == r.Offset && last.Kind == r.Kind && last.Text == r.Text {
			last.Count++
			if last.Entry != r.Entry {
				last.Entry = "several"
			}
			if last.Subject != r.Subject {
				last.Subject = "several"
			}
			return
		}
	}
	r.Count = 1
	d.Rows = append(d.Rows, r)
}

// kindYOffset returns the vertical offset of a kind within an entry's lane, in pixels, so
// that each kind has its own line. 0 is the centre of the lane; the line of the first kind is
// 4 pixels below the top of the lane.
func kindYOffset(kind string) float64 {
	kinds := slices.Sorted(maps.Keys(colours))
	i := slices.Index(kinds, kind)
	return float64(i)*laneHeight/float64(len(kinds)+1) - laneHeight/2 + 4
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>greengagelane timeline</title>
<style>
body{font:14px/1.4 system-ui,sans-serif;margin:24px;color:#222;background:#fff}
table{border-collapse:collapse;width:100%}td,th{text-align:left;padding:2px 10px;border-bottom:1px solid #eee;vertical-align:top}
td:not(:last-child){white-space:nowrap}td{font-variant-numeric:tabular-nums}th{position:sticky;top:0;background:#fff}
.key{display:inline-block;margin-right:14px}.key i{display:inline-block;width:10px;height:10px;border-radius:5px;margin-right:5px}
text{font:12px system-ui,sans-serif;fill:#444}
</style></head><body>
<h1>Timeline</h1>
<p>{{range .Kinds}}<span class="key"><i style="background:{{.Colour}}"></i>{{.Title}}</span>{{end}}</p>
<svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="events of each entry over time">
{{$h := .Height}}{{range .Ticks}}<line x1="{{.X}}" y1="24" x2="{{.X}}" y2="{{$h}}" stroke="#ddd"/><text x="{{.X}}" y="16" text-anchor="middle">{{.Text}}</text>
{{end}}{{$w := .Width}}{{range .Lanes}}<line x1="0" y1="{{.Y}}" x2="{{$w}}" y2="{{.Y}}" stroke="#eee"/><text x="0" y="{{.Y}}" dy="4">{{.Name}}</text>
{{range .Dots}}<circle cx="{{.X}}" cy="{{.Y}}" r="3" fill="{{.Colour}}" fill-opacity="0.75"><title>{{.Title}}</title></circle>
{{end}}{{end}}</svg>
<table><thead><tr><th>time</th><th>offset</th><th>entry</th><th>kind</th><th>subject</th><th></th></tr></thead><tbody>
{{range .Rows}}<tr><td>{{.Time}}</td><td>{{.Offset}}</td><td>{{.Entry}}</td><td style="color:{{.Colour}}">{{.Kind}}</td><td>{{.Subject}}</td><td>{{.Text}}{{if gt .Count 1}} <b>({{.Count}} times)</b>{{end}}</td></tr>
{{end}}</tbody></table></body></html>
`))
