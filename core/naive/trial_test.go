package naive_test
import ("testing";"time";"github.com/samphirequay/samphirequay/core/sched";"github.com/samphirequay/samphirequay/core/id")
func TestTrial(t *testing.T){
 for _,strict:=range []bool{true,false}{ for _,load:=range []float64{0.7,0.95,1.2}{ for _,w:=range []float64{0,0.2,0.5,0.8}{
  var sum result
  for seed:=range uint64(3){
   m:=newModel(document(w,time.Second),seed,true,func() sched.Scheduler{return sched.NewLedger(sched.Options{Pool:pool,Self:id.Process{Daemon:"d"},Seed:seed})})
   m.strict=strict
   sum=sum.plus(m.run(3000,load*fullRate))
  }
  t.Logf("strict %v load %.2f  w %.1f in time %.1f refused %.1f failed %.2f wasted %.2f",strict,load,w,share(sum.inTime,sum.asked),share(sum.refused,sum.asked),share(sum.failed,sum.asked),share(sum.wasted,sum.prefills))
 }}}
}
