# Draws the plots of docs/CAPACITY.md; called by scripts/capacity with the variables data (a
# directory) and plots (another).
set terminal svg size 640,400 dynamic
set grid
set yrange [0:*]
set key left top
set style data linespoints

set output plots.'/bytes-by-nodes.svg'
set title "control bytes a node, without engines and load"
set xlabel "nodes"
set ylabel "bytes/s, sent and received"
stats data.'/nodes.dat' using 1 nooutput
plot data.'/nodes.dat' index 0 using 1:2 title "all", \
     data.'/nodes.dat' index 1 using 1:2 title "membership", \
     data.'/nodes.dat' index 2 using 1:2 title "configuration"

set output plots.'/cpu-by-events.svg'
set title "processor time a node"
set xlabel "cache events a second and node"
set ylabel "% of a core"
plot data.'/events.dat' using 1:2 notitle
