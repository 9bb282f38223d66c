fleet "istanbul" {
  role         = "control"
  listen       = "10.0.0.1:7001"
  advertise    = "10.0.0.9:7009"
  seeds        = ["10.0.0.1:7001"]
  data         = "/var/lib/control"
  copies       = 2
  machine      = "m2"
  zone         = "b"
  site         = "site-2"
  gone_after   = "90m"
  repair_after = "20s"
  voters       = 7
  records      = 4321
  megabytes    = 9
  followers    = 321
}
