// Ownership by intrusive reference counts.
#ifndef CAROBMAST_FRAMEWORK_BASE_INTRUSIVE_H_
#define CAROBMAST_FRAMEWORK_BASE_INTRUSIVE_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <utility>

namespace carobmast {

// Base of objects shared within one thread: the count is not atomic.
template <typename T>
using RefCounted =
    boost::intrusive_ref_counter<T, boost::thread_unsafe_counter>;

template <typename T>
using Ref = boost::intrusive_ptr<T>;

// Makes a counted object.
template <typename T, typename... Args>
Ref<T> MakeRef(Args&&... args) {
  return Ref<T>(new T(std::forward<Args>(args)...));
}

}  // namespace carobmast

#endif  // CAROBMAST_FRAMEWORK_BASE_INTRUSIVE_H_
