#!/usr/bin/env bash
# Prints the medians of the runs of tools/experiment.sh, with one row per mix,
# fault, load and policy. Usage: tools/summarize.sh FILE
set -euo pipefail
field() { sed -n "s/.*\"$1\": *\"\{0,1\}\([^,\"}]*\).*/\1/p"; }
printf '%-10s %-7s %5s %-12s %5s %9s %9s %8s %8s %9s %8s\n' mix fault load \
    policy runs good/s refused failed p95_ms wasted_% retries
while read -r line; do
    row=""
    for name in mix fault load policy good seconds refused failed \
        first_ms_p95 prefill_wasted prefill_sent retries; do
        row+="$(field "$name" <<<"$line") "
    done
    echo "$row"
done <"$1" | awk '
    function median(key, n,    i, j, t, v) {
        for (i = 1; i <= n; i++) v[i] = value[key, i]
        for (i = 1; i <= n; i++)
            for (j = i + 1; j <= n; j++)
                if (v[j] < v[i]) { t = v[i]; v[i] = v[j]; v[j] = t }
        return v[int((n + 1) / 2)]
    }
    {
        key = $1 " " $2 " " $3 " " $4
        n = ++count[key]
        value[key "g", n] = $5 / $6
        value[key "r", n] = $7
        value[key "f", n] = $8
        value[key "p", n] = $9
        value[key "w", n] = $11 > 0 ? 100 * $10 / $11 : 0
        value[key "t", n] = $12
    }
    END {
        for (key in count) {
            split(key, k, " ")
            n = count[key]
            printf "%-10s %-7s %5d %-12s %5d %9.2f %9d %8d %8.0f %9.2f %8d\n",
                k[1], k[2], k[3], k[4], n, median(key "g", n),
                median(key "r", n), median(key "f", n),
                median(key "p", n), median(key "w", n), median(key "t", n)
        }
    }' | sort -k1,1 -k2,2 -k3,3n -k4,4
