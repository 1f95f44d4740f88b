#!/usr/bin/env bash
# Writes out/report.md, with the stated and measured outcome of each trace and
# the benchmark figures, and out/zone-SITE.svg, a plot of answers over time while a
# zone is evacuated and returned. First argument: the build folder.
set -eu -o pipefail
cd "$(dirname "$0")/.."
build=$1
mkdir -p out

# Prints an SVG with stacked bars of answers, refusals and resets per 100 ms.
plot() { # title; windows on standard input
    awk -v title="$1" '
        { t[NR] = $1; served[NR] = $2; refused[NR] = $3; reset[NR] = $4
          sum = $2 + $3 + $4; if (sum > top) top = sum }
        function bar(x, y, height, color) {
            if (height > 0)
                printf "<rect x=\"%.1f\" y=\"%.1f\" width=\"2\" " \
                    "height=\"%.1f\" fill=\"%s\"/>\n", x, y, height, color
        }
        END {
            if (top == 0) top = 1
            width = NR * 2 + 80
            printf "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" " \
                "height=\"280\" font-family=\"sans-serif\" " \
                "font-size=\"12\">\n", width
            printf "<text x=\"50\" y=\"16\">%s: answers (green), refusals " \
                "(orange) and resets (red) for each 100 ms</text>\n", title
            for (i = 1; i <= NR; i++) {
                x = 50 + i * 2; a = served[i] * 200 / top
                b = refused[i] * 200 / top; c = reset[i] * 200 / top
                bar(x, 240 - a, a, "#3a8f5c")
                bar(x, 240 - a - b, b, "#e08a1e")
                bar(x, 240 - a - b - c, c, "#c03028")
                if (i % 50 == 1)
                    printf "<text x=\"%.1f\" y=\"258\">%d s</text>\n", x, t[i]
            }
            printf "<text x=\"5\" y=\"46\">%d</text>\n", top
            printf "<text x=\"5\" y=\"243\">0</text>\n</svg>\n"
        }'
}

for site in tuulai kotetsi; do
    "$build/replay/trace_run" --windows "out/windows-$site.txt" \
        "traces/$site-zone-return.trace" >/dev/null || true
    awk '$1 >= 36' "out/windows-$site.txt" |
        plot "$site, a zone leaves at 42 s and returns at 52 s" \
            >"out/zone-$site.svg"
done
{
    echo "# Measures"
    echo
    echo "| trace | holds | stated | seen |"
    echo "|---|---|---|---|"
    scripts/replay.sh "$build" | awk '
        /^(ok|DIFFERS) / {
            holds = $1; name = $2; sub(/:$/, "", name)
            rest = $0; sub(/^[^:]*: stated /, "", rest)
            split(rest, part, "; seen ")
            printf "| %s | %s | %s | %s |\n", name, holds, part[1], part[2]
        }' | sort
    if [ -s out/bench.txt ]; then
        echo
        echo "| bench | figure | unit |"
        echo "|---|---|---|"
        awk 'NF == 3 { printf "| %s | %s | %s |\n", $1, $2, $3 }' out/bench.txt
    fi
    echo
    echo "Service over time: zone-tuulai.svg, zone-kotetsi.svg."
} >out/report.md
echo "out/report.md, out/zone-tuulai.svg and out/zone-kotetsi.svg are written"
