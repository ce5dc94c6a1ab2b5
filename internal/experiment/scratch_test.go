package experiment
import ("testing";"fmt";"os";"time";"masticcart.example/masticcart/internal/placement";"masticcart.example/masticcart/internal/model")
var ps = []struct{n string; p placement.Planner}{{"policy",placement.New(placement.Options{})},{"fcfs",placement.FirstFit{}},{"prio",placement.BestFit{}}}
func show(n string, f *Figures, w time.Duration){
 u,no,de := f.Completion[model.ClassUrgent],f.Completion[model.ClassNormal],f.Completion[model.ClassDeferrable]
 fmt.Printf("%-8s urg n%d %.0f/%.0f/%.0f start max %.1f | norm %d %.0f/%.0f | def %d %.0f/%.0f | large %d mean %.0f p50 %.0f p95 %.0f | frag %.3f lf %.3f useful %.3f lost %.3f pre %d unf %d claim n%d max %.1f | brk %d dec %d p50 %.2f p99 %.2f max %.2fms  wall %s\n", n, u.N,u.P50,u.P95,u.P99,f.Start[model.ClassUrgent].Most,no.N,no.P50,no.P95,de.N,de.P50,de.P95,f.Large.N,f.Large.Mean,f.Large.P50,f.Large.P95,f.Unusable,f.LargestFree,f.Useful,f.Lost,f.Preempted,f.Unfinished,f.Claim.N,f.Claim.Most,f.Broken,f.Decisions,f.Decision.P50,f.Decision.P99,f.Decision.Most,w.Round(time.Millisecond))
 fmt.Printf("      start by size: ")
 for i,s := range f.StartBySize { fmt.Printf("%s: n%d p50 %.0f max %.0f; ",SizeNames[i],s.N,s.P50,s.Most)}
 fmt.Println()
}
func TestScratch(t *testing.T){
 mode := os.Getenv("MODE")
 for seed := uint64(1); seed<=3; seed++ {
 for _,p := range ps {
  var l *Load
  switch mode {case "b": l=Deployment(0,seed,false); case "l": l=Deployment(1,seed,false); case "bf": l=Deployment(0,seed,true); case "c": l=Claim(0,seed); default: l=Large(mode,LargeWorkers,seed)}
  b:=time.Now(); f,err:=Run(l,p.p); if err!=nil {t.Error(err); continue}
  fmt.Print("seed ",seed," jobs ",len(l.Jobs)," "); show(p.n,f,time.Since(b))
 }
 if mode!="b"&&mode!="l"&&mode!="bf"&&mode!="c" {break}
 }
}
