fleet "istanbul" {
  listen       = "0.0.0.0:7001"
  advertise    = "10.0.0.1:7001"
  seeds        = ["10.0.0.1:7001", "[fd00::2]:7002"]
  data         = "/var/lib/sabletally"
  copies       = 4
  machine      = "m1"
  zone         = "a"
  site         = "site-1"
  gone_after   = "2h"
  repair_after = "15s"
  voters       = 5
  records      = 1234
  megabytes    = 7
  list_young   = "45s"
  list_old     = "3h"
}

hold "intents" {
  grades = ["pay", "buy"]
}
