package drive

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/greengagelane/greengagelane/internal/sched"
)

var (
	pollsOK         = metrics.GetOrCreateCounter(`greengagelane_vm_looks_total{outcome="ok"}`)
	pollsFailed     = metrics.GetOrCreateCounter(`greengagelane_vm_looks_total{outcome="failed"}`)
	orderDuration   = metrics.GetOrCreateHistogram(`greengagelane_vm_order_seconds`)
	appendDuration  = metrics.GetOrCreateHistogram(`greengagelane_job_log_append_seconds`)
	requestDuration = metrics.GetOrCreateHistogram(`greengagelane_caller_request_seconds`)
)

// countRuns adds the increase of a scheduler's statistics, from last to current, to the metrics.
func countRuns(last, current sched.Stats) {
	add := func(event string, n int) {
		metrics.GetOrCreateCounter(`greengagelane_runs_total{event="` + event + `"}`).Add(n)
	}
	add("started", current.Started-last.Started)
	add("done", current.Done-last.Done)
	add("failed", current.Failed-last.Failed)
	add("stopped", current.Stopped-last.Stopped)
	add("lost", current.Lost-last.Lost)
	add("stalled", current.Stalled-last.Stalled)
	add("copy-started", current.Copies-last.Copies)
	add("copy-won", current.CopiesWon-last.CopiesWon)
	metrics.GetOrCreateCounter(`greengagelane_copy_core_ms_total`).Add(current.CopyCoreMS - last.CopyCoreMS)
	metrics.GetOrCreateCounter(`greengagelane_copy_wasted_core_ms_total`).Add(current.CopyWasteCoreMS - last.CopyWasteCoreMS)
	metrics.GetOrCreateCounter(`greengagelane_jobs_refused_total`).Add(current.Refused - last.Refused)
	refused := func(reason string, n int) {
		metrics.GetOrCreateCounter(`greengagelane_jobs_refused_by_reason_total{reason="` + reason + `"}`).Add(n)
	}
	share, rate := current.RefusedByShare-last.RefusedByShare, current.RefusedByRate-last.RefusedByRate
	refused("beyond-share", share)
	refused("beyond-rate", rate)
	refused("pool", current.Refused-last.Refused-share-rate)
}

// countRequest counts a caller's request by its outcome.
func countRequest(kind, outcome string) {
	metrics.GetOrCreateCounter(`greengagelane_caller_requests_total{kind="` + kind + `",outcome="` + outcome + `"}`).Inc()
}
