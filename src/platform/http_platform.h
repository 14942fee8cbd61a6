// The platform's services over HTTP/JSON. Each function fills the hooks of one
// contract; the format of the messages is in platform_codec.h.
//
//   POST /log/STREAM                        append
//   GET  /log/STREAM?from=N&max=M&wait_ms=W read
//   GET  /vms                               VM list
//   POST /workers/NAME/VERB                 worker command
//
// An outcome says "not sent" or "refused" only when the request certainly had
// no effect: it never left this process, the peer refused it as malformed (400,
// 404, 405, 413, 422), or the peer answered 503 with "took_effect": false.
// Every other failure, a whole but unreadable answer included, is "unknown".
#ifndef CAROBMAST_PLATFORM_HTTP_PLATFORM_H_
#define CAROBMAST_PLATFORM_HTTP_PLATFORM_H_

#include "framework/base/intrusive.h"
#include "framework/net/http_client.h"
#include "platform/log_service.h"
#include "platform/vm_list.h"
#include "platform/worker_service.h"

namespace carobmast::platform {

// A read may take its `wait` on top of its `timeout`.
LogService MakeHttpLogService(Ref<net::HttpClient> client,
                              net::Address address);

VmListService MakeHttpVmListService(Ref<net::HttpClient> client,
                                    net::Address address);

// Each command goes to the address that it carries.
WorkerService MakeHttpWorkerService(Ref<net::HttpClient> client);

}  // namespace carobmast::platform

#endif  // CAROBMAST_PLATFORM_HTTP_PLATFORM_H_
