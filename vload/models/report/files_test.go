package report_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/vload/models/report"
)

func TestReadCSVReturnsWrittenRows(t *testing.T) {
	is := is.New(t)
	rows := []report.Row{
		{Scenario: "a,b", Policy: "ours", Seed: 1 << 63, Run: 2, Class: "all", Metric: "attainment", Value: 0.1234567891, Unit: "ratio"},
		{Scenario: "a,b", Policy: "ours", Run: 2, Class: "all", Metric: "offered", Value: 123456789, Unit: "requests"},
	}
	var text strings.Builder
	is.NoErr(report.WriteCSV(&text, rows))
	read, err := report.ReadCSV(strings.NewReader(text.String()))
	is.NoErr(err)
	is.Equal(read, rows)
}

func TestUnavailableFigureInCSVAndJSON(t *testing.T) {
	is := is.New(t)
	rows := []report.Row{{Metric: "cost", Value: report.NotAvailable()}}
	var table, object strings.Builder
	is.NoErr(report.WriteCSV(&table, rows))
	read, err := report.ReadCSV(strings.NewReader(table.String()))
	is.NoErr(err)
	is.True(!read[0].Value.Available())
	is.NoErr(report.WriteJSON(&object, rows))
	is.True(strings.Contains(object.String(), `"value": null`))
}

func TestReadCSVReportsLineOfError(t *testing.T) {
	is := is.New(t)
	_, err := report.ReadCSV(strings.NewReader("scenario,policy,seed,run,class,metric,value,unit\na,b,1,1,all,x,much,\n"))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "line 2"))
}
