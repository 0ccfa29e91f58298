# Generates the page's tables from compare.csv: medians, and for attainment also the lowest and the
# highest value, in brackets.
function get(class, metric) { return median[scenario, class, metric, policy] }
function num(v, format) { return v == "" || v == "not-available" ? "-" : sprintf(format, v) }
function spread(class) {
  at = scenario SUBSEP class SUBSEP "attainment" SUBSEP policy
  return median[at] == "" ? "-" : sprintf("%.3f (%.2f..%.2f)", median[at], low[at], high[at])
}
function jain(a, b, c,  s, q) {
  s = a + b + c; q = a * a + b * b + c * c
  return q == 0 ? "-" : sprintf("%.3f", s * s / (3 * q))
}
NR == 1 { next }
{
  key = $1 SUBSEP $2 SUBSEP $3 SUBSEP $4
  median[key] = $7; low[key] = $8; high[key] = $9; runs[$1, $4] = $5
  if (!($1 in seen)) { seen[$1] = 1; scenarios[++n] = $1 }
  if (!($4 in known)) { known[$4] = 1; policies[++m] = $4 }
  if ($2 == "all" && $3 ~ /^refused\//) { refused[$1, $4] = refused[$1, $4] " " substr($3, 9) " " $7 }
  if ($3 == "cost/llm/generate") { generate[$1, $4] = $7 }
  if ($3 ~ /^cost\//) { cost[$1, $4] = cost[$1, $4] " " substr($3, 6) " " sprintf("%.0f", $7) }
}
END {
  for (i = 1; i <= n; i++) {
    scenario = scenarios[i]
    printf "\n### %s\n\n", scenario
    print "| policy | runs | attainment | urgent | normal | batch | maribor | koper | Jain, equal teams | p50 ms | p95 ms | p99 ms | first token p95 ms | between regions, bytes per request | sent again per request | committed idle | beyond it, units/s | send lag p99 ms |"
    print "|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|"
    for (j = 1; j <= m; j++) {
      policy = policies[j]
      if (runs[scenario, policy] == "") continue
      again = get("all", "retries-per-offered") + get("all", "resends-per-offered")
      rate = generate[scenario, policy] / seconds
      idle = rate < committed ? 1 - rate / committed : 0
      beyond = rate > committed ? rate - committed : 0
      printf "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %.3f | %.2f | %.0f | %s |\n", policy, runs[scenario, policy],
        spread("all"), spread("priority:urgent"), spread("priority:normal"), spread("priority:batch"),
        num(get("team:maribor", "attainment"), "%.3f"), num(get("team:koper", "attainment"), "%.3f"),
        jain(get("team:kranj", "attainment"), get("team:maribor", "attainment"), get("team:koper", "attainment")),
        num(get("all", "latency-p50"), "%.0f"), num(get("all", "latency-p95"), "%.0f"), num(get("all", "latency-p99"), "%.0f"),
        num(get("all", "first-token-p95"), "%.0f"), num(get("all", "cross-region-bytes-per-offered"), "%.0f"), again, idle, beyond,
        num(get("all", "send-lag-p99"), "%.0f")
    }
    print ""
    for (j = 1; j <= m; j++) {
      policy = policies[j]
      if (runs[scenario, policy] == "") continue
      printf "- %s: refused or failed:%s; cost units:%s\n", policy, refused[scenario, policy] == "" ? " none" : refused[scenario, policy], cost[scenario, policy]
    }
  }
}
