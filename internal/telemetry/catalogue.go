package telemetry

import (
	"fmt"
	"io"
)

// Names of the metrics.
const (
	nameRequests         = "cherryward_requests_total"
	nameRunsWithoutGrant = "cherryward_runs_without_grant_total"
	nameExported         = "cherryward_exported_bytes_total"
	nameQueue            = "cherryward_queue_seconds"
	nameFirstToken       = "cherryward_first_token_seconds"
	nameTokenGap         = "cherryward_token_gap_seconds"
	nameRequestSeconds   = "cherryward_request_seconds"
	nameRecomputed       = "cherryward_recomputed_share"
	namePromptTokens     = "cherryward_prompt_tokens_total"
	nameCachedTokens     = "cherryward_cached_tokens_total"
	nameOutputTokens     = "cherryward_output_tokens_total"
	nameImported         = "cherryward_imported_bytes_total"

	nameMembers         = "cherryward_members"
	namePeerSent        = "cherryward_peer_sent_bytes_total"
	namePeerReceived    = "cherryward_peer_received_bytes_total"
	namePeerCalls       = "cherryward_peer_calls_total"
	nameConfigApplied   = "cherryward_config_applied_offset"
	nameConfigKnown     = "cherryward_config_known_offset"
	nameConfigLogAge    = "cherryward_config_log_age_seconds"
	nameConfigSilence   = "cherryward_config_silence_seconds"
	nameConfigReady     = "cherryward_config_ready"
	nameOwnedEndpoints  = "cherryward_owned_endpoints"
	nameOwnerChanges    = "cherryward_owner_changes_total"
	nameGrantedRuns     = "cherryward_granted_runs"
	nameWaitingRuns     = "cherryward_waiting_runs"
	nameOrders          = "cherryward_orders_total"
	nameOrdersUncertain = "cherryward_orders_uncertain_total"
	nameRolloutsUndone  = "cherryward_rollouts_undone_total"
	nameClaims          = "cherryward_claim_appends_total"
)

const (
	counter   = "counter"
	gauge     = "gauge"
	histogram = "histogram"

	perAccount = "`account`, `class`"
	noValue    = "-"
)

// description documents one metric for operators.
type description struct {
	name, kind, labels, unit, meaning, alarm string
}

// catalogue describes every metric of this package.
var catalogue = []description{
	{nameRequests, counter, "`code`", "requests", "Completed requests by result code; 0 is success.",
		"Share of codes 3xxx and 4xxx above its usual level; any 9001."},
	{nameFirstToken, histogram, perAccount, "seconds", "Time from the start of a prompt's placement to its first token.",
		"A quantile above what the account was promised."},
	{nameTokenGap, histogram, perAccount, "seconds", "Time between two successive events of a streamed answer.",
		"A quantile above what the account was promised."},
	{nameQueue, histogram, perAccount, "seconds", "Time from the start of a prompt's placement to the grant of an engine.",
		"Increases for the interactive class: too few engines, or one account with high load."},
	{nameRequestSeconds, histogram, perAccount, "seconds", "Time from the arrival of a prompt to the end of its answer.", noValue},
	{nameRecomputed, histogram, perAccount, "share, 0 to 1", "Share of each prompt's tokens that the engine computed instead of taking them from cached context.",
		"Increases: cached context is lost or not found."},
	{namePromptTokens, counter, perAccount, "tokens", "Tokens of prompts that an engine started.", noValue},
	{nameCachedTokens, counter, perAccount, "tokens", "Prompt tokens that were taken from cached context; the others were computed.", noValue},
	{nameOutputTokens, counter, perAccount, "tokens", "Tokens generated for answers.", noValue},
	{nameImported, counter, perAccount, "bytes", "Context imported from store hosts for prompts.", "Rate near the links' capacity."},
	{nameExported, counter, noValue, "bytes", "Context exported to store hosts on this node's orders.", "Rate near the links' capacity."},
	{nameRunsWithoutGrant, counter, noValue, "runs", "Runs that were started without a grant because the endpoint's owner could not be reached.",
		"More than occasional increases: nodes can't reach each other."},
	{nameMembers, gauge, "`state`", "nodes", "Nodes by state, in this node's view.",
		"Nodes report different values for over a minute; suspect stays above 0."},
	{namePeerSent, counter, noValue, "bytes", "Bytes sent to other nodes, including all overhead above TCP.",
		"Rate above the control budget."},
	{namePeerReceived, counter, noValue, "bytes", "Bytes received from other nodes, including all overhead above TCP.",
		"Rate above the control budget."},
	{namePeerCalls, counter, noValue, "calls", "Calls made to other nodes.", noValue},
	{nameConfigApplied, gauge, noValue, "offset", "Log offset up to which this node has applied the configuration.",
		"Below the maximum of all nodes for over 6 s."},
	{nameConfigKnown, gauge, noValue, "offset", "Newest log offset that the log or a peer has reported to this node.", noValue},
	{nameConfigLogAge, gauge, noValue, "seconds", "Time since the last known read of the log, by this node or one whose notices reached it.",
		"Above a minute on all nodes: the log is unavailable."},
	{nameConfigSilence, gauge, noValue, "seconds", "Time since this node's last contact with the log or another node.",
		"Above a minute: the node is isolated."},
	{nameConfigReady, gauge, noValue, "0 or 1", "1 while the configuration is recent enough to accept requests.",
		"0: the node accepts no new requests."},
	{nameOwnedEndpoints, gauge, noValue, "endpoints", "Endpoints that this node owns.", noValue},
	{nameOwnerChanges, counter, noValue, "endpoints", "Endpoints that this node gained or lost, counted between two reads of the metrics.",
		"Increases while no node joins or leaves: the nodes' views are unstable."},
	{nameGrantedRuns, gauge, noValue, "runs", "Granted runs on the owned endpoints.", noValue},
	{nameWaitingRuns, gauge, noValue, "runs", "Requests queued for the owned endpoints.",
		"Increases over minutes: load exceeds capacity."},
	{nameOrders, counter, "`kind`", "orders", "Orders to load or unload weights that this node sent.", noValue},
	{nameOrdersUncertain, counter, noValue, "orders", "Orders without a response; the engine's state is read again.",
		"Increases: responses of an engine are lost."},
	{nameRolloutsUndone, counter, noValue, "rollouts", "Rollouts that this node reverted because the first runs of the new version failed.",
		"Any increase: inspect the version."},
	{nameClaims, counter, noValue, "records", "Records appended to the log for claims.",
		"Rate over all nodes near the log's limit."},
}

const markdownHead = `# Metrics

Generated from ` + "`internal/telemetry/catalogue.go`" + ` by ` + "`go test ./internal/telemetry -update`" + `; a
test checks that this page is current and lists exactly the metrics that are served.

Each node serves its metrics at ` + "`GET /metrics`" + ` of the callers' listener, in the
Prometheus text format. Counters start at zero when the process starts.

*Account and class.* At most %d client accounts have series of their own: the
largest by recent tokens. The others share ` + "`account=\"%s\"`" + `. A node updates its
ranking every %s, and an account replaces another one only with more than
%d times its traffic. The series of a replaced account end; their counts are not
added to the shared series. A sum over accounts is exact as a rate, but not as a
total since the start.

| Name | Type | Labels | Unit | Meaning | Alarm |
|---|---|---|---|---|---|
`

const markdownFoot = `
The metrics library adds those of the process: ` + "`process_cpu_seconds_total`" + `
(its rate is the node's CPU use; alarm: above the control budget on a node without
requests), ` + "`process_resident_memory_bytes`" + `, ` + "`process_open_fds`" + `,
` + "`go_goroutines`" + `, ` + "`go_gc_duration_seconds`" + ` and more.
`

// writeMarkdown writes the table of all metrics as a Markdown page.
func writeMarkdown(w io.Writer) error {
	if _, err := fmt.Fprintf(w, markdownHead, maxNamedAccounts, otherAccounts, rankInterval, minTrafficRatio); err != nil {
		return err
	}
	for _, d := range catalogue {
		_, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s | %s |\n", d.name, d.kind, d.labels, d.unit, d.meaning, d.alarm)
		if err != nil {
			return err
		}
	}
	_, err := io.WriteString(w, markdownFoot)
	return err
}
