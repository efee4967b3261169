# Draws the columns of `covewing-bench table --plot`; called by scripts/bench compare with the
# variables data and output_file.
set terminal svg size 1200,800 dynamic
set output output_file
stats data using 2 nooutput
set style data histograms
set style fill solid 0.7
set boxwidth 0.8
set xtics rotate by -35
set grid ytics
set yrange [0:*]
unset key
set multiplot layout 3,STATS_blocks
do for [block=0:STATS_blocks-1] {
  set title "prefix hit rate"
  plot data index block using 2:xtic(1)
}
do for [block=0:STATS_blocks-1] {
  set title "wasted recomputation"
  plot data index block using 3:xtic(1)
}
do for [block=0:STATS_blocks-1] {
  set title "TTFT p99 of the long prompts, ms"
  plot data index block using 4:xtic(1)
}
unset multiplot
