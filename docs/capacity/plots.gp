# Plots of the slopes in docs/CAPACITY.md, from measured.csv beside this file: gnuplot -c plots.gp (in this folder).
set terminal svg size 760,440 font "sans,12" background "white"
set grid
set key outside right top
set xlabel "daemons"
# x (3: runners, 1: daemons), scenario, measure, role
line(x, scenario, measure, role) = \
  sprintf("< awk -F, '$6==\"%s\" && $7==\"%s\" && $8==\"%s\" && $9==\"\" && $10!=\"\" {print $%d, $10}' measured.csv", scenario, measure, role, x)
role(x, measure, name) = line(x, "steady", measure, name)

set output "steady-bytes.svg"
set title "Steady state: bytes sent a second by one daemon (simulated)"
set ylabel "bytes/s"
set logscale y
plot for [r in "router primary backup witness relay lister"] role(1, "sent", r) using 1:2 with linespoints title r

set output "steady-processor.svg"
set title "Steady state: processor time of one daemon's core (real)"
set ylabel "ms per simulated second"
plot for [r in "router primary backup witness relay lister"] role(1, "cpu", r) using 1:2 with linespoints title r, 27 with lines dashtype 2 title "budget: 2.7%"

set output "memory.svg"
set title "Heap of one daemon (simulated run)"
set ylabel "bytes"
plot role(1, "heap", "router") using 1:2 with linespoints title "router, steady", \
     role(1, "heap", "primary") using 1:2 with linespoints title "primary, steady", \
     line(1, "journal", "fullOfViews", "router") using 1:2 with linespoints title "journal full of views", \
     line(1, "journal", "fullOfLists", "router") using 1:2 with linespoints title "journal full of lists", \
     line(1, "founding", "mostHeapOfOne", "") using 1:2 with linespoints title "most of any, founding", \
     line(1, "zone back", "mostHeapOfOne", "") using 1:2 with linespoints title "most of any, zone back", \
     32e6 with lines dashtype 2 title "budget: 32 MB"
unset logscale y

set output "view-time.svg"
set title "Until every daemon holds the same view (simulated)"
set ylabel "ms"
set yrange [0:*]
plot line(1, "fault", "viewEverywhere", "") using 1:2 with linespoints title "one router lost", \
     line(1, "return", "viewEverywhere", "") using 1:2 with linespoints title "one router back", \
     line(1, "zone lost", "viewEverywhere", "") using 1:2 with linespoints title "a zone lost", \
     line(1, "zone back", "viewEverywhere", "") using 1:2 with linespoints title "a zone back", \
     line(1, "regions joined", "viewEverywhere", "") using 1:2 with linespoints title "regions joined again", \
     line(1, "power lost", "viewEverywhere", "") using 1:2 with linespoints title "all power lost"

set output "news-time.svg"
set title "Until news is everywhere (simulated)"
plot line(1, "change", "inForceEverywhere", "") using 1:2 with linespoints title "configuration", \
     line(1, "change", "inForceEverywhereSlowest", "") using 1:2 with linespoints title "configuration, slowest", \
     line(1, "list", "listEverywhere", "") using 1:2 with linespoints title "list of runners", \
     line(1, "list", "listEverywhereSlowest", "") using 1:2 with linespoints title "list, slowest", \
     4000 with lines dashtype 2 title "budget: 4 s"

set output "event-bytes.svg"
set title "Bytes that one event costs the whole fleet (simulated)"
set ylabel "bytes"
set yrange [*:*]
set logscale xy
plot line(1, "fault", "bytes", "") using 1:2 with linespoints title "one router lost", \
     line(1, "return", "bytes", "") using 1:2 with linespoints title "one router back", \
     line(1, "zone lost", "bytes", "") using 1:2 with linespoints title "a zone lost", \
     line(1, "zone back", "bytes", "") using 1:2 with linespoints title "a zone back", \
     line(1, "change", "bytes", "") using 1:2 with linespoints title "change of configuration", \
     line(1, "list", "bytes", "") using 1:2 with linespoints title "change of the list", \
     line(1, "founding", "bytes", "") using 1:2 with linespoints title "founding", \
     line(1, "power lost", "bytes", "") using 1:2 with linespoints title "all power lost"
unset logscale xy

set output "choice.svg"
set title "One choice of a runner (real)"
set xlabel "runners of the model"
set ylabel "us"
set yrange [0:*]
plot line(3, "choice", "cpu", "router") using 1:2 with linespoints title "Table::decide"
