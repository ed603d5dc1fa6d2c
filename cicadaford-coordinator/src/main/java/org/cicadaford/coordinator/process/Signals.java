package org.cicadaford.coordinator.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles operating system signals.
 *
 * <p>The JDK's signal class is not part of the platform API, so it is accessed by reflection.
 */
public final class Signals {

  private Signals() {}

  /** Runs {@code action} on each signal with the given name, for example {@code TERM}. */
  public static void handle(String name, Runnable action) {
    try {
      Class<?> signalType = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      InvocationHandler invocation =
          (proxy, method, arguments) -> {
            if (method.getName().equals("handle")) {
              action.run();
            }
            return null;
          };
      Object handler =
          Proxy.newProxyInstance(
              Signals.class.getClassLoader(), new Class<?>[] {handlerType}, invocation);
      Object signal = signalType.getConstructor(String.class).newInstance(name);
      signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(
          "signal " + name + " cannot be handled; run with the module jdk.unsupported", e);
    }
  }
}
